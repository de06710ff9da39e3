package compiler_test

import (
	"testing"

	"github.com/klauspost/compress/s2"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

// FuzzUpdate checks that a node panics on no update, whether it unpacks, applies and
// compiles it or rejects it, and that no invariant of a compiled table is violated.
func FuzzUpdate(f *testing.F) {
	encoded, err := parser.Encode(parser.Content{Services: []parser.Service{{Name: "svc0", Slots: 1}},
		Routes: []parser.Route{{Path: "/a/", Host: "h", Shares: []parser.Share{{Service: "svc0", Weight: 1}}}}})
	if err != nil {
		f.Fatal(err)
	}
	odd := endpoint("n", "t", "10.0.0.9:99999")
	for _, u := range []differ.Update{
		{},
		{Version: 1, Revision: 1, Sections: []differ.Section{{Name: "s0", Body: []byte("services: [{name: svc0}]\nroutes: [{path: /r, service: svc0}]\n")}}, Endpoints: []applier.Endpoint{odd, odd}},
		{Version: 2, Sections: []differ.Section{{Name: "document-00", Body: encoded}, {Name: "document-00", Removed: true}}, Gone: []applier.EndpointKey{odd.EndpointKey}},
	} {
		plain, err := encoder.Marshal(u)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(plain)
	}
	f.Fuzz(func(_ *testing.T, plain []byte) {
		_, _ = differ.Unpack(plain)
		u, err := differ.Unpack(s2.Encode(nil, plain))
		if err != nil {
			return
		}
		_, _ = differ.Apply(differ.Snapshot{}, u)
		// The digests of arbitrary bytes never match, so the content is compiled directly.
		c := &compiler.Compiler{DataCentre: "dc-1"}
		t, err := c.Compile(differ.Snapshot{Version: u.Version, Sections: u.Sections, Traffics: u.Traffics, Endpoints: u.Endpoints, PoisonRequests: u.Suspects})
		if err != nil {
			return
		}
		t.Match("h", "GET", "/a/x")
		for _, s := range t.Services() {
			s.Pool("v1").Empty()
		}
	})
}
