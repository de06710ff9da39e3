package controller

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/decoder"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/decider"
	"github.com/hornbeamrack/hornbeamrack/version/validator"
)

const (
	operatorTimeout = 5 * time.Second
	maxOperatorBody = 1 << 20
	hashPrefix      = "sha256:"
	maxEditIDBytes  = 64
)

// Team is a team of operators. TokenHash is "sha256:" followed by the hash of the
// team's token in hexadecimal; the token itself is not stored.
type Team struct {
	Name      string
	TokenHash string
}

// HashToken returns the hash of a token in the form that the settings store.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hashPrefix + hex.EncodeToString(sum[:])
}

// EditRequest is the body of a request to change one section.
type EditRequest struct {
	EditID          string         `json:"editId"` // EditID makes the edit idempotent; it has 1 to 64 bytes.
	Action          applier.Action `json:"action"`
	BaseRevision    uint64         `json:"baseRevision"` // BaseRevision is the revision that the edit is based on.
	Body            string         `json:"body,omitempty"`
	RestoreRevision uint64         `json:"restore,omitempty"` // RestoreRevision is the revision to restore.
}

// ValidateRequest is the body of a request to validate a section without changing
// it.
type ValidateRequest struct {
	Section string `json:"section"`
	Body    string `json:"body"`
}

// MoveRequest is the body of a request to begin a move. An empty preference means
// caution.
type MoveRequest struct {
	EditID     string             `json:"editId"`
	Service    string             `json:"service"`
	From       string             `json:"from,omitempty"`
	To         string             `json:"to"`
	Deadline   time.Time          `json:"deadline"`
	Preference applier.Preference `json:"preference,omitempty"`
}

// CancelRequest is the body of a request to cancel a running move.
type CancelRequest struct {
	EditID string `json:"editId"`
}

// ErrorResponse is the body of a response to a failed request.
type ErrorResponse struct {
	Error    string         `json:"error"`
	Location *decoder.Error `json:"place,omitempty"` // Location is the position of a fault in a section; nil for other errors.
}

// ServiceView is the traffic and the endpoints of one service.
type ServiceView struct {
	Traffic   applier.Traffic    `json:"traffic"`
	Endpoints []applier.Endpoint `json:"endpoints"`
}

// StatusView is the status of the control hosts and nodes.
type StatusView struct {
	ReportingHost string               `json:"answering"` // ReportingHost is the name of the control host that responds.
	Version       uint64               `json:"version"`
	Revision      uint64               `json:"revision"`
	Claims        int                  `json:"claims"` // Claims is the number of claims on idempotency keys.
	Groups        []GroupView          `json:"groups"`
	Nodes         []messenger.Sighting `json:"nodes"`
}

// GroupView is the status of one replicated group on the reporting host.
type GroupView struct {
	Name string `json:"name"`
	replicator.Status
}

// serveOperators runs the operators' HTTP API until ctx ends.
func (c *Controller) serveOperators(ctx context.Context) {
	app := fiber.New(fiber.Config{BodyLimit: maxOperatorBody, ReadTimeout: operatorTimeout, IdleTimeout: time.Minute, ErrorHandler: writeError})
	app.Use(c.authorize)
	app.Get("/v1/sections", c.listSections)
	app.Get("/v1/sections/:name", c.showSection)
	app.Post("/v1/sections/:name", c.editSection)
	app.Post("/v1/validate", c.validateSection)
	app.Get("/v1/services", c.listServices)
	app.Get("/v1/moves", c.listMoves)
	app.Post("/v1/moves", c.beginMove)
	app.Post("/v1/moves/:service/cancel", c.cancelMove)
	app.Get("/v1/events", c.listEvents)
	app.Get("/v1/status", c.showStatus)
	app.Post("/v1/members", c.postMember)
	app.Get("/v1/identify", c.identifyHost)
	go func() {
		<-ctx.Done()
		_ = app.ShutdownWithTimeout(operatorTimeout)
	}()
	if err := app.Listen(c.OperatorAddress, fiber.ListenConfig{DisableStartupMessage: true}); err != nil && ctx.Err() == nil {
		c.Log.Error("the operators' API stopped", "address", c.OperatorAddress, "err", err)
	}
}

// writeError writes the status code and the body of a failed request.
func writeError(ctx fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var httpErr *fiber.Error
	if errors.As(err, &httpErr) {
		status = httpErr.Code
	}
	body := ErrorResponse{Error: err.Error()}
	var location *decoder.Error
	if errors.As(err, &location) {
		status, body.Location = fiber.StatusUnprocessableEntity, location
	}
	return ctx.Status(status).JSON(body)
}

// authorize determines the team of the token. The hashes of all teams are compared
// in constant time, so that the duration does not reveal which one matches.
func (c *Controller) authorize(ctx fiber.Ctx) error {
	token, ok := strings.CutPrefix(ctx.Get(fiber.HeaderAuthorization), "Bearer ")
	hash := []byte(HashToken(token))
	team := ""
	for _, t := range c.Teams {
		if subtle.ConstantTimeCompare(hash, []byte(t.TokenHash)) == 1 {
			team = t.Name
		}
	}
	if !ok || team == "" {
		return fiber.NewError(fiber.StatusUnauthorized, "no team has this token")
	}
	ctx.Locals("team", team)
	return ctx.Next()
}

// teamOf returns the team that authorize determined.
func teamOf(ctx fiber.Ctx) string {
	team, _ := ctx.Locals("team").(string)
	return team
}

// readBody decodes the JSON body of a request; unknown fields, and anything after the
// first value, are an error.
func readBody(ctx fiber.Ctx, v any) error {
	d := json.NewDecoder(strings.NewReader(string(ctx.Body())))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "decode the request body: "+err.Error())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fiber.NewError(fiber.StatusBadRequest, "the request body continues after its JSON value; send one value")
	}
	return nil
}

// withOperatorTimeout returns the context of a request, bounded by operatorTimeout.
func withOperatorTimeout(ctx fiber.Ctx) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx.Context(), operatorTimeout)
}

// currentState returns a state that includes everything accepted before the call.
// It returns an HTTP error 503 when no leader is reached.
func (c *Controller) currentState(ctx fiber.Ctx) (applier.State, error) {
	call, cancel := withOperatorTimeout(ctx)
	defer cancel()
	s, err := c.LinearizableState(call)
	if err != nil {
		return s, fiber.NewError(fiber.StatusServiceUnavailable, "this control host reaches no leader of the configuration group: "+err.Error())
	}
	return s, nil
}

// proposeEdit proposes an edit and writes its result.
func (c *Controller) proposeEdit(ctx fiber.Ctx, cmd applier.Command) error {
	call, cancel := withOperatorTimeout(ctx)
	defer cancel()
	r, err := c.propose(call, cmd)
	return writeResult(ctx, r, err)
}

// writeResult writes the result of an edit. A conflict has status 409, a rejected edit 422
// and an unreachable leader 503.
func writeResult(ctx fiber.Ctx, r applier.Result, err error) error {
	if err != nil {
		return fiber.NewError(fiber.StatusServiceUnavailable, err.Error())
	}
	status := fiber.StatusOK
	switch r.Outcome {
	case applier.OutcomeConflict:
		status = fiber.StatusConflict
	case applier.OutcomeRefused:
		status = fiber.StatusUnprocessableEntity
	}
	return ctx.Status(status).JSON(r)
}

// checkEditID returns an HTTP error 400 for an empty or too long edit ID.
func checkEditID(id string) error {
	if id == "" || len(id) > maxEditIDBytes {
		return fiber.NewError(fiber.StatusBadRequest, "editId must be 1 to "+strconv.Itoa(maxEditIDBytes)+" bytes long")
	}
	return nil
}

// listSections writes all sections without their histories.
func (c *Controller) listSections(ctx fiber.Ctx) error {
	s, err := c.currentState(ctx)
	if err != nil {
		return err
	}
	list := []applier.Section{}
	for _, sec := range s.Sections {
		sec.History = nil
		list = append(list, sec)
	}
	return ctx.JSON(list)
}

// showSection writes one section with its history.
func (c *Controller) showSection(ctx fiber.Ctx) error {
	s, err := c.currentState(ctx)
	if err != nil {
		return err
	}
	sec, ok := s.Section(ctx.Params("name"))
	if !ok {
		return fiber.NewError(fiber.StatusNotFound, "there is no section "+strconv.Quote(ctx.Params("name")))
	}
	return ctx.JSON(sec)
}

// editSection edits, retires or restores a section.
func (c *Controller) editSection(ctx fiber.Ctx) error {
	var req EditRequest
	if err := readBody(ctx, &req); err != nil {
		return err
	}
	if err := checkEditID(req.EditID); err != nil {
		return err
	}
	return c.proposeEdit(ctx, applier.EditSection{
		EditID: req.EditID, Section: strings.Clone(ctx.Params("name")), Team: teamOf(ctx), Action: req.Action,
		BaseRevision: req.BaseRevision, Body: []byte(req.Body), RestoreRevision: req.RestoreRevision, At: time.Now(),
	})
}

// validateSection merges the section with the others as an edit does, and changes
// nothing.
func (c *Controller) validateSection(ctx fiber.Ctx) error {
	var req ValidateRequest
	if err := readBody(ctx, &req); err != nil {
		return err
	}
	s, err := c.currentState(ctx)
	if err != nil {
		return err
	}
	sources := []validator.Source{{Name: req.Section, Body: []byte(req.Body)}}
	for _, source := range s.Sources() {
		if source.Name != req.Section {
			sources = append(sources, source)
		}
	}
	if _, err := validator.Merge(sources); err != nil {
		return err
	}
	return ctx.JSON(messenger.Empty{})
}

// listServices is a handler that responds with a JSON list of the traffic and endpoints
// of every service; without services the list is empty. It makes a linearizable read
// first, and returns the error of that read, for example when no leader replies.
func (c *Controller) listServices(ctx fiber.Ctx) error {
	s, err := c.currentState(ctx)
	if err != nil {
		return err
	}
	list := []ServiceView{}
	for _, t := range s.Traffics {
		v := ServiceView{Traffic: t, Endpoints: []applier.Endpoint{}}
		for _, e := range s.Endpoints {
			if e.Service == t.Service {
				v.Endpoints = append(v.Endpoints, e)
			}
		}
		list = append(list, v)
	}
	return ctx.JSON(list)
}

// listMoves writes past moves, then the latest move of each service.
func (c *Controller) listMoves(ctx fiber.Ctx) error {
	s, err := c.currentState(ctx)
	if err != nil {
		return err
	}
	list := append([]applier.Move{}, s.PastMoves...)
	for _, t := range s.Traffics {
		if t.Move != nil {
			list = append(list, *t.Move)
		}
	}
	return ctx.JSON(list)
}

// beginMove begins a move, unless its deadline is not feasible.
func (c *Controller) beginMove(ctx fiber.Ctx) error {
	var req MoveRequest
	if err := readBody(ctx, &req); err != nil {
		return err
	}
	if err := checkEditID(req.EditID); err != nil {
		return err
	}
	if req.Preference == "" {
		req.Preference = applier.PreferCaution
	}
	if reason := decider.InfeasibleReason(time.Now(), req.Deadline); reason != "" {
		return ctx.Status(fiber.StatusUnprocessableEntity).JSON(applier.Result{EditID: req.EditID, Outcome: applier.OutcomeRefused, Message: reason})
	}
	s, err := c.currentState(ctx)
	if err != nil {
		return err
	}
	call, cancel := withOperatorTimeout(ctx)
	defer cancel()
	r, err := c.beginOrReplace(call, s, applier.BeginMove{
		EditID: req.EditID, Service: req.Service, From: req.From, To: req.To, Deadline: req.Deadline,
		Preference: req.Preference, Team: teamOf(ctx), At: time.Now(),
	})
	return writeResult(ctx, r, err)
}

// cancelMove cancels the running move of a service.
func (c *Controller) cancelMove(ctx fiber.Ctx) error {
	var req CancelRequest
	if err := readBody(ctx, &req); err != nil {
		return err
	}
	if err := checkEditID(req.EditID); err != nil {
		return err
	}
	return c.proposeEdit(ctx, applier.CancelMove{EditID: req.EditID, Service: strings.Clone(ctx.Params("service")), Team: teamOf(ctx), At: time.Now()})
}

// listEvents writes the events with an index greater than the parameter "after".
func (c *Controller) listEvents(ctx fiber.Ctx) error {
	after, err := strconv.ParseUint(ctx.Query("after", "0"), 10, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "the parameter after must be the index of an event")
	}
	s, err := c.currentState(ctx)
	if err != nil {
		return err
	}
	list := []applier.Event{}
	for _, e := range s.Events {
		if e.Index > after {
			list = append(list, e)
		}
	}
	return ctx.JSON(list)
}

// showStatus writes the status of this host, with the nodes as the leader lists
// them. It also works without a leader, so that operators can diagnose the fault.
func (c *Controller) showStatus(ctx fiber.Ctx) error {
	s := c.state.State()
	v := StatusView{ReportingHost: c.Name, Version: s.Version, Revision: s.Revision, Claims: c.registry.Len()}
	for _, m := range c.replicas {
		v.Groups = append(v.Groups, GroupView{m.group.Name, m.group.Status()})
	}
	v.Nodes = c.nodes.list()
	r := c.redirect(c.replicas[configIndex])
	if c.isLeader() || r.Leader == "" {
		return ctx.JSON(v)
	}
	call, cancel := withOperatorTimeout(ctx)
	defer cancel()
	var reply messenger.NodesReply
	if err := c.pool.Get(r.Leader).Call(call, messenger.MethodNodes, messenger.Empty{}, &reply); err == nil && !reply.NotLeader {
		v.Nodes = reply.Sightings
	}
	return ctx.JSON(v)
}

// identifyHost requests the identity of the control host at the parameter
// "address" and writes it.
func (c *Controller) identifyHost(ctx fiber.Ctx) error {
	call, cancel := withOperatorTimeout(ctx)
	defer cancel()
	var reply messenger.IdentifyReply
	address := strings.Clone(ctx.Query("address"))
	if err := c.pool.Get(address).Call(call, messenger.MethodIdentify, messenger.Empty{}, &reply); err != nil {
		return fiber.NewError(fiber.StatusServiceUnavailable, err.Error())
	}
	return ctx.JSON(reply)
}

// postMember changes the members of a group on the host that leads it.
func (c *Controller) postMember(ctx fiber.Ctx) error {
	var args messenger.MemberArgs
	if err := readBody(ctx, &args); err != nil {
		return err
	}
	call, cancel := withOperatorTimeout(ctx)
	defer cancel()
	reply := c.changeMember(call, args)
	if reply.NotLeader && reply.Leader != "" {
		leader := reply.Leader
		reply = messenger.CommandReply{}
		if err := c.pool.Get(leader).Call(call, messenger.MethodMember, args, &reply); err != nil {
			return fiber.NewError(fiber.StatusServiceUnavailable, err.Error())
		}
	}
	if reply.NotLeader {
		return fiber.NewError(fiber.StatusServiceUnavailable, "no leader of the group was found")
	}
	if reply.Failure != "" {
		return fiber.NewError(fiber.StatusConflict, reply.Failure)
	}
	return ctx.JSON(messenger.Empty{})
}
