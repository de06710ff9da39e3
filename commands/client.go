package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/process/controller"
	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
)

const (
	requestTimeout = 6 * time.Second        // requestTimeout bounds one request to one control host.
	maxRounds      = 3                      // maxRounds is how often every address is tried.
	roundPause     = 300 * time.Millisecond // roundPause is the pause between two rounds over all addresses.
)

// clientOptions are the options of every hornbeamctl command.
type clientOptions struct {
	Addresses []string `short:"a" long:"address" env:"HORNBEAM_ADDRESS" env-delim:"," description:"Operator address of a control host; may be given several times" value-name:"IP:PORT"`
	Token     string   `short:"t" long:"token" env:"HORNBEAM_TOKEN" description:"The team's token"`
	JSON      bool     `long:"json" description:"Print JSON for programs"`
}

// Client runs hornbeamctl with args, which exclude the program name, and returns its
// exit code.
func Client(args []string) int {
	var o clientOptions
	p := flags.NewNamedParser("hornbeamctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Edits sections, moves traffic and shows what the mesh reports.\n\nExit codes: 0 done, 1 failure, 2 usage, 3 conflict, 4 rejected, 5 unreachable, 6 move rolled back or cancelled."
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		panic(err)
	}
	addSectionCommands(p, &o)
	addMoveCommands(p, &o)
	addViewCommands(p, &o)
	addControlCommands(p, &o)
	mustAdd(p, "explain", "Print the log lines of a request",
		"Reads log files of any number of processes, or standard input, and prints the lines of one request in order of their timestamps.\n\nExample:\n  hornbeamctl explain 77b69775da3cf17d /var/log/hornbeam/*.log", &explainCommand{})
	mustAdd(p, "token", "Make a team's token",
		"Prints a new token for a team's operators and the hash for the settings of the control hosts.\n\nExample:\n  hornbeamctl token", &tokenCommand{})
	return runParser(p, args)
}

// get decodes the response of the first control host that can serve the path into
// out.
func (o *clientOptions) get(path string, out any) error {
	return o.sendWithRetry(fasthttp.MethodGet, path, nil, out)
}

// post sends in as JSON and decodes the response into out. Edits carry an edit id,
// which makes them idempotent: a retry after a lost response does not apply the edit
// twice.
func (o *clientOptions) post(path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &Error{path, KindFailure, err}
	}
	return o.sendWithRetry(fasthttp.MethodPost, path, body, out)
}

// sendWithRetry tries every address in turn, up to maxRounds times, until a control
// host responds with a status other than 503. After the last round it fails with
// KindUnreachable and the last cause.
func (o *clientOptions) sendWithRetry(method, path string, body []byte, out any) error {
	if len(o.Addresses) == 0 {
		return &Error{path, KindUsage, errors.New("no control host given; set --address or HORNBEAM_ADDRESS")}
	}
	var last error
	for round := range maxRounds {
		if round > 0 {
			time.Sleep(roundPause)
		}
		for _, address := range o.Addresses {
			status, response, err := o.send(method, address, path, body)
			if err == nil && status != fasthttp.StatusServiceUnavailable {
				return decodeResponse(path, status, response, out)
			}
			last = errors.WithMessage(err, address)
			if err == nil {
				last = errors.Errorf("%s: %s", address, failureText(response))
			}
		}
	}
	return &Error{path, KindUnreachable, errors.WithMessage(last, "no control host could serve the request")}
}

// send sends one request to one control host and returns the status and the body. It reads
// the response as nodes do: the client of fasthttp takes status 000 for 200.
func (o *clientOptions) send(method, address, path string, body []byte) (int, []byte, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + address + path)
	req.Header.SetRequestURIBytes(req.URI().RequestURI())
	req.Header.SetHost(address)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+o.Token)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	f := &forwarder.Forwarder{Address: address, DialTimeout: requestTimeout}
	defer f.Close()
	err := f.Do(context.Background(), &req, &resp, time.Now().Add(requestTimeout), forwarder.Identity{})
	return resp.StatusCode(), resp.Body(), err
}

// failureText returns the error text of a response, or the whole body when it is not
// an ErrorResponse.
func failureText(response []byte) string {
	var f controller.ErrorResponse
	if err := json.Unmarshal(response, &f); err != nil || f.Error == "" {
		return strings.TrimSpace(string(response))
	}
	return f.Error
}

// decodeResponse decodes a response into out, or returns an *Error whose kind follows
// from the status.
func decodeResponse(path string, status int, response []byte, out any) error {
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusConflict, fasthttp.StatusUnprocessableEntity:
	case fasthttp.StatusUnauthorized, fasthttp.StatusForbidden, fasthttp.StatusNotFound:
		return &Error{path, KindRejected, errors.New(failureText(response))}
	case fasthttp.StatusBadRequest:
		return &Error{path, KindUsage, errors.New(failureText(response))}
	default:
		return &Error{path, KindFailure, errors.Errorf("status %d: %s", status, failureText(response))}
	}
	// Responses to edits hold an outcome with any of these statuses. A response without
	// one is a failure unless its status is 200.
	if text := failureText(response); status != fasthttp.StatusOK && !strings.Contains(string(response), `"outcome"`) {
		kind := KindRejected
		if status == fasthttp.StatusConflict {
			kind = KindConflict
		}
		return &Error{path, kind, errors.New(text)}
	}
	if err := json.Unmarshal(response, out); err != nil {
		return &Error{path, KindFailure, errors.WithMessage(err, "decode the response of the control host")}
	}
	return nil
}

// print writes v as JSON to standard output if the --json option is set, and otherwise
// the table that fill writes.
func (o *clientOptions) print(v any, fill func(w *tabwriter.Writer)) error {
	if o.JSON {
		return errors.WithStack(json.NewEncoder(os.Stdout).Encode(v))
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fill(w)
	return errors.WithStack(w.Flush())
}

// writeRow writes one line of tab-separated cells.
func writeRow(w *tabwriter.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}

// newEditID returns the given id, or a random one if it is empty.
func newEditID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}

// formatTime formats t in local time, or returns "-" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Local().Format(time.DateTime)
}
