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

// TestInvalidSettingsHavePlaceAndHint guards against errors in a settings file that
// are accepted, or reported without their line or hint. Each row makes one mistake
// in valid settings.
func TestInvalidSettingsHavePlaceAndHint(t *testing.T) {
	rows := []struct {
		name, old, new string
		line           int
		message, hint  string
	}{
		{"unknown key", "dataCentre: dc-1", "dataCenter: dc-1", 2, `unknown key "dataCenter"`, `did you mean "dataCentre"?`},
		{"no unit", "drainTime: 2s", "drainTime: 2", 10, "with its unit", ""},
		{"duplicate address", "peerAddress: 127.0.0.1:7102", "peerAddress: 127.0.0.1:7101", 8, "is used by", "use another port"},
		{"missing data folder", "dataFolder: data\n", "", 0, "needs a dataFolder", "persistent disk"},
		{"no role", "roles: [node, control]", "roles: []", 3, "no role", "roles:"},
		{"unknown role", "roles: [node, control]", "roles: [node, proxy]", 3, `unknown role "proxy"`, "node or control"},
		{"node without control", "roles: [node, control]", "roles: [node]", 0, "can never be ready", "rpcAddress"},
		{"peers without this host", "{name: host-a,", "{name: host-b,", 0, "does not contain", "add this host"},
		{"host name for address", "127.0.0.1:7101", "localhost:7101", 7, "is not an address", "IP:PORT"},
		{"losses below zero", "control:\n", "control:\n  toleratedLosses: -1\n", 12, "toleratedLosses is -1", "use 0 to 10"},
		{"link of no number", "drainTime: 2s", "linkMbps: .nan", 10, "linkMbps is NaN", "megabits a second"},
		{"endless link", "drainTime: 2s", "linkMbps: .inf", 10, "linkMbps is +Inf", "megabits a second"},
		{"negative link", "drainTime: 2s", "linkMbps: -1", 10, "linkMbps is -1", "megabits a second"},
		{"queue too large", "drainTime: 2s", "queue: 9223372036854775807", 10, "queue is 9.2", "requests"},
		{"negative queue", "drainTime: 2s", "queue: -1", 10, "queue is -1", "requests"},
		{"number beyond an integer", "drainTime: 2s", "queue: 99999999999999999999", 10, "", ""},
		{"lifetime of years", "drainTime: 2s", "claimLifetime: 2562047h", 10, "claimLifetime is 2562047h", "at most"},
		{"memory that overflows", "dataFolder: data", "dataFolder: data\nmemoryLimitMB: 9223372036854775807", 5, "memoryLimitMB is 9.2", "megabytes"},
		{"hard limit that overflows", "dataFolder: data", "dataFolder: data\nhardLimitMB: 9223372036854775807", 5, "hardLimitMB is 9.2", "megabytes"},
		{"heap growth too large", "dataFolder: data", "dataFolder: data\nheapGrowth: 9223372036854775807", 5, "heapGrowth is 9.2", "percent"},
		{"ratio of no number", "dataFolder: data", "dataFolder: data\ntraces: {ratio: .nan}", 5, "ratio is NaN", "from 0 to 1"},
		{"endless retries", "dataFolder: data", "dataFolder: data\nretries: {ratio: .inf}", 5, "ratio is +Inf", "retries"},
		{"negative slack", "dataFolder: data", "dataFolder: data\nretries: {slack: -.inf}", 5, "slack is -Inf", "retries"},
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
			is.True(strings.Contains(at.Hint, row.hint))
		})
	}
}

// TestExampleIsValid guards against an example file that no longer loads, and against
// a missing file that is not reported as such.
func TestExampleIsValid(t *testing.T) {
	is := is.New(t)
	s, err := Load(filepath.Join("..", "..", "examples", "embedded.yaml"))
	is.NoErr(err)
	is.True(s.HasRole(RoleNode) && s.HasRole(RoleControl))
	is.Equal(s.Node.ControlAddresses, []string{"127.0.0.1:7104"})
	_, err = Load(filepath.Join(t.TempDir(), "missing.yaml"))
	is.True(os.IsNotExist(errors.Cause(errors.Unwrap(err))))
}

// FuzzParse guards against input on which Parse panics or does not end.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: &x [*x]"))
	f.Add([]byte("{{{{"))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = Parse("fuzz", raw)
	})
}
