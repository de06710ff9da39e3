package starter

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

var (
	documentSeed = flag.Uint64("documentSeed", 1, "seed of the documents and faults")
	documentTime = flag.Duration("documentTime", 8*time.Second, "time for which control hosts fail while documents are sent")
)

const (
	documentHosts = 3
	documentNode  = documentHosts // documentNode is the index of the node.
	operatorCount = 4
	// operatorTimeout is the time without a response after which an operator calls
	// another control host.
	operatorTimeout = time.Second
	clearAnswer     = 20 * time.Second // clearAnswer bounds the time until a call gets a clear answer once no host fails.
)

// sentDocument is a document that an operator sends.
type sentDocument struct {
	number, base int
	body         string
}

// documentHistory is what operators saw of their documents.
type documentHistory struct {
	*platformMesh
	client fasthttp.Client // client keeps no connection of another test, whose processes had the same addresses.

	mu       sync.Mutex
	accepted map[int]sentDocument // accepted holds the acknowledged documents by their base.
	numbers  map[int]sentDocument // numbers holds the acknowledged documents by their number.
	rejected map[string]bool      // rejected holds the bodies that lost a race.
	newest   sentDocument
	faults   []string // faults are the broken promises.
}

// TestDocumentsOutliveFailingHosts guards against acknowledged documents that are lost,
// refused when they are sent again, or read back older, against two documents on one base,
// and against invalid ones in force, while control hosts are killed, stopped, paused and
// started again. Longer runs: go test -count=1 -timeout 30m -run
// TestDocumentsOutliveFailingHosts ./stand/starter -documentTime 5m -documentSeed 7.
func TestDocumentsOutliveFailingHosts(t *testing.T) {
	m := &platformMesh{Mesh: &Mesh{Folder: t.TempDir(), ProgramFolder: programFolder}, t: t, ports: freePorts(t, documentNode+1)}
	t.Cleanup(func() {
		m.KillAll()
		if t.Failed() {
			for _, p := range m.processes() {
				t.Logf("--- %s\n%s", p.Name, p.Log())
			}
		}
	})
	h := &documentHistory{platformMesh: m, accepted: map[int]sentDocument{}, numbers: map[int]sentDocument{}, rejected: map[string]bool{}}
	var hosts []*Node
	for i := range documentHosts {
		hosts = append(hosts, m.start(i, "control.yaml", true))
	}
	m.start(documentNode, "node.yaml", true)
	h.send(rand.New(rand.NewPCG(*documentSeed, 0)), h.next(rand.New(rand.NewPCG(*documentSeed, 0))), time.Now().Add(readyTimeout))
	until := time.Now().Add(*documentTime)
	var operators sync.WaitGroup
	for i := range operatorCount {
		operators.Go(func() { h.operate(rand.New(rand.NewPCG(*documentSeed, uint64(i+1))), until) })
	}
	h.failHosts(rand.New(rand.NewPCG(*documentSeed, 100)), hosts, until)
	operators.Wait()
	t.Logf("%d documents acknowledged, %d lost a race", len(h.accepted), len(h.rejected))
	h.checkEnd(is.New(t))
	for _, f := range h.faults {
		t.Error(f)
	}
}

// failHosts lets one control host at a time fail until the deadline.
func (h *documentHistory) failHosts(r *rand.Rand, hosts []*Node, until time.Time) {
	for time.Now().Before(until) {
		i := r.IntN(len(hosts))
		pause := time.Duration(100+r.IntN(1200)) * time.Millisecond
		switch r.IntN(4) {
		case 0:
			_ = hosts[i].Pause()
			time.Sleep(pause)
			_ = hosts[i].Resume()
		case 1:
			if err := hosts[i].Stop(); err != nil {
				h.fault("%s stopped with %v", hosts[i].Name, err)
			}
			hosts[i] = h.start(i, "control.yaml", false)
		default:
			hosts[i].Kill()
			time.Sleep(pause)
			hosts[i] = h.start(i, "control.yaml", false)
		}
		time.Sleep(pause)
	}
}

// operate sends documents and reads until the deadline, then goes on until its last call
// has a clear answer.
func (h *documentHistory) operate(r *rand.Rand, until time.Time) {
	limit := until.Add(clearAnswer)
	for time.Now().Before(until) {
		switch r.IntN(6) {
		case 0:
			h.resend(r, limit)
		case 1:
			h.sendInvalid(r)
		case 2, 3:
			h.read(r.IntN(documentHosts))
		default:
			h.send(r, h.next(r), limit)
		}
	}
}

// fault records a broken promise.
func (h *documentHistory) fault(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

// newestDocument returns the newest acknowledged document.
func (h *documentHistory) newestDocument() sentDocument {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest
}

// next returns a document that follows the newest one.
func (h *documentHistory) next(r *rand.Rand) sentDocument {
	base := h.newestDocument().number
	number := base + 1 + r.IntN(3)
	body := platformDocument(number, 1000+r.IntN(1_000_000))
	return sentDocument{number, base, strings.Replace(body, "/a/", fmt.Sprintf("/a%d/", number), 1)}
}

// callControl sends one call to a control host and returns the status, 0 for none.
func (h *documentHistory) callControl(i int, method, path, base, body string) (int, string) {
	return h.call(method, "http://"+h.address(i, controlPort)+"/hornbeamrack/config/"+path, map[string]string{"X-Base-Version": base}, body)
}

// call sends one request and returns the status, 0 for none, and the body.
func (h *documentHistory) call(method, url string, headers map[string]string, body string) (int, string) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	req.UseHostHeader = headers["Host"] != ""
	req.SetBodyString(body)
	if err := h.client.DoTimeout(req, resp, operatorTimeout); err != nil {
		return 0, ""
	}
	return resp.StatusCode(), string(resp.Body())
}

// put sends a document to random hosts until it has a clear answer, which it returns; 0
// means that the limit passed.
func (h *documentHistory) put(r *rand.Rand, d sentDocument, limit time.Time) (int, string) {
	for time.Now().Before(limit) {
		status, response := h.callControl(r.IntN(documentHosts), "POST", "put", fmt.Sprintf("r%d", d.base), d.body)
		if status != 0 && status < 500 {
			return status, response
		}
		time.Sleep(pollInterval)
	}
	return 0, ""
}

// send sends a valid document on the version that was newest to this operator.
func (h *documentHistory) send(r *rand.Rand, d sentDocument, limit time.Time) {
	status, response := h.put(r, d, limit)
	h.mu.Lock()
	defer h.mu.Unlock()
	other, taken := h.accepted[d.base]
	switch {
	case status == 200 && taken && other.body != d.body:
		h.faults = append(h.faults, fmt.Sprintf("documents %d and %d on version %d were both accepted", d.number, other.number, d.base))
	case status == 200:
		h.accepted[d.base], h.numbers[d.number] = d, d
		if d.number > h.newest.number {
			h.newest = d
		}
	case status == 412:
		h.rejected[d.body] = true
	default:
		h.faults = append(h.faults, fmt.Sprintf("document %d on version %d was answered %d: %s", d.number, d.base, status, response))
	}
}

// resend sends the newest acknowledged document again, which must be acknowledged again.
func (h *documentHistory) resend(r *rand.Rand, limit time.Time) {
	d := h.newestDocument()
	if status, response := h.put(r, d, limit); status != 200 {
		h.fault("the acknowledged document %d was sent again and answered %d: %s", d.number, status, response)
	}
}

// sendInvalid sends an invalid document, which must not be acknowledged.
func (h *documentHistory) sendInvalid(r *rand.Rand) {
	d := h.next(r)
	body := []string{platformDocument(d.number, 0), d.body[:r.IntN(len(d.body))], strings.Replace(d.body, `"service":"svc1"`, `"service":"svc2"`, 1)}[r.IntN(3)]
	if status, _ := h.callControl(r.IntN(documentHosts), "POST", "put", fmt.Sprintf("r%d", d.base), body); status != 0 && status < 400 {
		h.fault("an invalid document was answered %d: %s", status, body)
	}
}

// read reads the document at a host: a failure, or one that is not older than what was
// acknowledged before the call.
func (h *documentHistory) read(i int) {
	before := h.newestDocument()
	status, body := h.callControl(i, "GET", "get", "", "")
	number := 0
	if _, err := fmt.Sscanf(body, `{"version":"r%d"`, &number); status == 200 && (err != nil || number < before.number) {
		h.fault("a read after version %d was acknowledged returned version %d, %v", before.number, number, err)
	}
}

// checkEnd checks the final document at all hosts: each acknowledged document is among its
// predecessors, and none that lost a race is in force. The node serves its route.
func (h *documentHistory) checkEnd(is *is.I) {
	body := ""
	for i := range documentHosts {
		is.NoErr(WaitUntil(h.t.Context(), readyTimeout, "final document", func() bool {
			status, read := h.callControl(i, "GET", "get", "", "")
			if body == "" {
				body = read
			}
			return status == 200 && read == body
		}))
	}
	is.Equal(body, h.newest.body) // All calls had a clear answer, so nothing else can be in force.
	is.True(!h.rejected[body])
	for d := h.newest; d.base != 0; d = h.numbers[d.base] {
		if h.numbers[d.base].number == 0 {
			h.faults = append(h.faults, fmt.Sprintf("document %d follows version %d, which was not acknowledged", d.number, d.base))
			break
		}
		delete(h.accepted, d.base)
	}
	delete(h.accepted, 0)
	for _, d := range h.accepted {
		h.faults = append(h.faults, fmt.Sprintf("the acknowledged document %d is not among the predecessors of the final one", d.number))
	}
	is.NoErr(WaitUntil(h.t.Context(), readyTimeout, "route of the final document at the node", func() bool {
		status, _ := h.call("GET", fmt.Sprintf("http://%s/a%d/x", h.address(documentNode, outboundPort), h.newest.number), map[string]string{"Host": "h.example", "X-Request-Id": "i", "X-Deadline-Ms": "500"}, "")
		return status == 503 // The route is known, its service has no target.
	}))
}
