package decoder_test

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/common/decoder"
)

// input is the type that the tests decode into.
type input struct {
	Name string `yaml:"name"`
	List []int  `yaml:"list"`
}

// repeat returns text repeated up to a length of n bytes.
func repeat(text string, n int) string { return strings.Repeat(text, n/len(text)) }

// deepInputs are inputs whose nesting is not visible in a plain count of brackets.
var deepInputs = map[string]string{
	"sequences on one line":       repeat("- ", decoder.MaxBytes),
	"keys on one line":            repeat("? ", decoder.MaxBytes),
	"sequences and keys":          repeat("- ? ", decoder.MaxBytes),
	"brackets behind a comment":   "# " + repeat("]", decoder.MaxBytes/2-8) + "\nlist: " + repeat("[", decoder.MaxBytes/2-8),
	"brackets behind a text":      "name: \"" + repeat("]", decoder.MaxBytes/2-16) + "\"\nlist: " + repeat("[", decoder.MaxBytes/2-16),
	"braces behind a plain text":  "name: x" + repeat("}", decoder.MaxBytes/2-16) + "\nlist: " + repeat("{a: ", decoder.MaxBytes/2-16),
	"seventeen sequences":         repeat("- ", 2*(decoder.MaxDepth+1)) + "x",
	"seventeen keys":              repeat("? ", 2*(decoder.MaxDepth+1)) + "x",
	"sequences in a second entry": "name: x\nlist:\n" + repeat("- ", decoder.MaxBytes-32),
}

// deepInputEnv names the input that the test binary decodes as a process of its own.
const deepInputEnv = "HORNBEAM_DEEP_INPUT"

// TestDeeplyNestedInputEndsTheProcess guards against input whose nesting makes the YAML
// parser exhaust the memory or the stack, which no recover prevents. Each input is
// decoded in a process of its own, since the fault would end this one.
func TestDeeplyNestedInputEndsTheProcess(t *testing.T) {
	if name := os.Getenv(deepInputEnv); name != "" {
		go exitAboveMemoryLimit()
		var e *decoder.Error
		if err := decoder.Decode("s", []byte(deepInputs[name]), &input{}); !errors.As(err, &e) || e.Kind != decoder.KindLimit {
			t.Fatal(err)
		}
		at := decoder.ErrorAt("s", []byte("\x00"+deepInputs[name]), "$.list", "not valid")
		if at.Line != 1 || at.Message != "not valid" {
			t.Fatal(at)
		}
		return
	}
	for name := range deepInputs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cmd := exec.Command(os.Args[0], "-test.run=^TestDeeplyNestedInputEndsTheProcess$", "-test.timeout=30s")
			cmd.Env = append(os.Environ(), deepInputEnv+"="+name)
			out, err := cmd.CombinedOutput()
			if err != nil {
				t.Log(string(out[:min(len(out), 400)]))
			}
			is.NoErr(err)
		})
	}
}

// exitAboveMemoryLimit ends the process when it has more than a gigabyte of memory.
func exitAboveMemoryLimit() {
	var m runtime.MemStats
	for m.Sys < 1<<30 {
		time.Sleep(10 * time.Millisecond)
		runtime.ReadMemStats(&m)
	}
	fmt.Printf("the process has %d MB of memory\n", m.Sys>>20)
	os.Exit(1)
}

// keys returns text with a number for each key, up to a length of about n bytes.
func keys(format string, n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n-32; i++ {
		fmt.Fprintf(&b, format, i)
	}
	return b.String()
}

// TestManyKeysStallTheHost guards against mappings and empty entries that the YAML library
// takes seconds to check: it compares each key with all others.
func TestManyKeysStallTheHost(t *testing.T) {
	const n = decoder.MaxBytes
	for name, text := range map[string]string{
		"keys": keys("a%d: 1\n", n), "empty keys": keys("a%d:\n", n), "keys between comments": keys("a%d: 1\n#\n", n), "indented keys": "name:\n" + keys("  a%d: 1\n", n),
		"keys with a question mark": keys("? a%d\n", n), "keys in braces": "{" + keys("a%d: 1,", n) + "}", "keys without a value": "list: [{" + repeat("a,", n-32) + "}]",
		"keys on lines that end in CR": keys("a%d: 1\r", n), "quoted keys": keys("\"a%d\": 1\n", n),
		"empty entries": repeat("-\n", n), "empty entries of a list": "list:\n" + repeat(" -\n", n-32),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := decoder.Decode("s", []byte(text), &input{})
			var e *decoder.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, decoder.KindLimit)
			is.True(e.Line <= 2*decoder.MaxKeys+3)
		})
	}
}

// TestErrorOfLongLineIsShort guards against errors that hold a whole line of the input,
// which takes seconds to format: control hosts store the errors of rejected sections.
func TestErrorOfLongLineIsShort(t *testing.T) {
	for name, text := range map[string]string{
		"anchors": repeat("&a ", decoder.MaxBytes), "values": repeat("a: ", decoder.MaxBytes), "texts": repeat(`"é" `, decoder.MaxBytes),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := decoder.Decode("s", []byte(text), &input{})
			is.True(err != nil)
			is.True(len(err.Error()) < 1000)
			is.True(utf8.ValidString(err.Error()))
		})
	}
}

// TestNestedInputIsAccepted guards against limits on nesting that reject valid input.
func TestNestedInputIsAccepted(t *testing.T) {
	for _, text := range []string{
		"name: '- - - - - - - - - - - - - - - - - - - -'\nlist: [1, 2]\n",
		"list:\n" + strings.Repeat("  - 1\n", 1000),
		"{list: [" + strings.Repeat("1, ", 1000) + "1]}",
		"? name\n: x\n? list\n: [1]\n",
		"list:\n" + strings.Repeat("  -\n  - 1\n", decoder.MaxKeys-1),
		"name: x # ? ? ? ? ? ? ? ? ? ? ? ? ? ? ? ? ? ? ?\n",
	} {
		is := is.New(t)
		is.NoErr(decoder.Decode("s", []byte(text), &input{}))
	}
	is := is.New(t)
	var many struct {
		List []input          `yaml:"list"`
		Map  map[string]input `yaml:"map"`
	}
	is.NoErr(decoder.Decode("s", []byte("list:\n"+strings.Repeat("  - name: x\n    list: [1, 2, 3]\n", 5000)), &many))
	is.NoErr(decoder.Decode("s", []byte("list:\n"+strings.Repeat("- {name: x, list: [1, 2, 3]}\n", 5000)), &many))
	is.NoErr(decoder.Decode("s", []byte("list: ["+strings.Repeat("{name: x, list: [1, 2, 3]}, ", 5000)+"]"), &many))
	is.NoErr(decoder.Decode("s", []byte("map:\n"+keys("  a%d: {name: x}\n", 3000)), &many))
}

// FuzzDecode checks that no input panics or ends the process, and that errors are of
// type *decoder.Error.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{"name: x\nlist: [1]\n", "- - - -", "? ? ?", "{a: {b: [", "&a *a !t", "name: \"\\xff\"", "---\n---\n", "a: |\n  b\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		err := decoder.Decode("s", raw, &input{})
		var e *decoder.Error
		if err != nil && (!errors.As(err, &e) || !utf8.ValidString(e.Message) || !utf8.ValidString(e.Excerpt)) {
			t.Fatal(err)
		}
		_ = decoder.ErrorAt("s", raw, "$.list[0]", "not valid")
	})
}
