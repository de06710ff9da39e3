package configurer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/decoder"
)

const valid = `name: host-a
dataCentre: dc-1
roles: [node, control]
dataFolder: data
adminAddress: 127.0.0.1:7100
node:
  entryAddress: 127.0.0.1:7101
  peerAddress: 127.0.0.1:7102
  announceAddress: 127.0.0.1:7103
  drainTime: 2s
control:
  rpcAddress: 127.0.0.1:7104
  peers:
    - {name: host-a, address: "127.0.0.1:7104"}
`

func TestFaultsHaveAPlaceAndAMend(t *testing.T) {
	rows := []struct {
		name, old, new string
		line           int
		message, mend  string
	}{
		{"unknown key", "dataCentre: dc-1", "dataCenter: dc-1", 2, `unknown key "dataCenter"`, `did you mean "dataCentre"?`},
		{"no unit", "drainTime: 2s", "drainTime: 2", 10, "with its unit", ""},
		{"duplicate address", "peerAddress: 127.0.0.1:7102", "peerAddress: 127.0.0.1:7101", 8, "is used by", "use another port"},
		{"missing data folder", "dataFolder: data\n", "", 0, "needs a dataFolder", "disk that lasts"},
		{"no role", "roles: [node, control]", "roles: []", 3, "no role", "roles:"},
		{"unknown role", "roles: [node, control]", "roles: [node, proxy]", 3, `unknown role "proxy"`, "node or control"},
		{"node without control", "roles: [node, control]", "roles: [node]", 0, "can never be ready", "rpcAddress"},
		{"peers without this host", "{name: host-a,", "{name: host-b,", 0, "does not name", "add this host"},
		{"host name for address", "127.0.0.1:7101", "localhost:7101", 7, "is not an address", "IP:PORT"},
		{"losses below zero", "control:\n", "control:\n  toleratedLosses: -1\n", 12, "toleratedLosses is -1", "use 0 to 10"},
		{"repeated key", "adminAddress: 127.0.0.1:7100", "name: again", 5, "", ""},
		{"not YAML", "name: host-a", "name: [", 0, "", ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(valid, row.old, row.new, 1)
			is.True(text != valid)
			_, err := Parse("hornbeam.yaml", []byte(text))
			var at *decoder.Error
			is.True(errors.As(err, &at))
			t.Log(err)
			is.Equal(at.File, "hornbeam.yaml")
			if row.line > 0 {
				is.Equal(at.Line, row.line)
			}
			is.True(strings.Contains(at.Message, row.message))
			is.True(strings.Contains(at.Hint, row.mend))
		})
	}
}

func TestExampleIsValid(t *testing.T) {
	is := is.New(t)
	s, err := Load(filepath.Join("..", "..", "examples", "embedded.yaml"))
	is.NoErr(err)
	is.True(s.HasRole(RoleNode) && s.HasRole(RoleControl))
	is.Equal(s.Node.ControlAddresses, []string{"127.0.0.1:7104"})
	_, err = Load(filepath.Join(t.TempDir(), "missing.yaml"))
	is.True(os.IsNotExist(errors.Cause(errors.Unwrap(err))))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: &x [*x]"))
	f.Add([]byte("{{{{"))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = Parse("fuzz", raw)
	})
}
