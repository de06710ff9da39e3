package controller

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
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

// Team is a team of operators. TokenHash is "sha256:" and the token's hash in
// hexadecimal; the token itself is stored nowhere.
type Team struct {
	Name      string
	TokenHash string
}

// HashToken returns what the settings hold for a token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hashPrefix + hex.EncodeToString(sum[:])
}

// EditRequest asks for a change of one section.
type EditRequest struct {
	EditID          string         `json:"editId"`
	Action          applier.Action `json:"action"`
	BaseRevision    uint64         `json:"baseRevision"`
	Body            string         `json:"body,omitempty"`
	RestoreRevision uint64         `json:"restore,omitempty"`
}

// ValidateRequest asks whether a section would be accepted.
type ValidateRequest struct {
	Section string `json:"section"`
	Body    string `json:"body"`
}

// MoveRequest asks for a move. Without a preference, caution is taken.
type MoveRequest struct {
	EditID     string             `json:"editId"`
	Service    string             `json:"service"`
	From       string             `json:"from,omitempty"`
	To         string             `json:"to"`
	Deadline   time.Time          `json:"deadline"`
	Preference applier.Preference `json:"preference,omitempty"`
}

// CancelRequest asks for the end of a running move.
type CancelRequest struct {
	EditID string `json:"editId"`
}

// ErrorResponse is the body of an answer that is not a success.
type ErrorResponse struct {
	Error    string         `json:"error"`
	Location *decoder.Error `json:"place,omitempty"`
}

// ServiceView is a service as operators see it.
type ServiceView struct {
	Traffic   applier.Traffic    `json:"traffic"`
	Endpoints []applier.Endpoint `json:"endpoints"`
}

// StatusView is what operators see of the control hosts and nodes.
type StatusView struct {
	ReportingHost string                 `json:"answering"`
	Version       uint64                 `json:"version"`
	Revision      uint64                 `json:"revision"`
	Claims        int                    `json:"claims"`
	Groups        []GroupView            `json:"groups"`
	Nodes         []messenger.NodeStatus `json:"nodes"`
}

// GroupView is one replicated group.
type GroupView struct {
	Name string `json:"name"`
	replicator.Status
}

// serveOperators runs the operators' HTTP API until ctx ends.
func (c *Controller) serveOperators(ctx context.Context) {
	app := fiber.New(fiber.Config{BodyLimit: maxOperatorBody, ReadTimeout: operatorTimeout, IdleTimeout: time.Minute, ErrorHandler: writeFailure})
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
		c.Log.Error("operators' API stopped", "address", c.OperatorAddress, "err", err)
	}
}

func writeFailure(ctx fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	f := ErrorResponse{Error: err.Error()}
	var place *decoder.Error
	if errors.As(err, &place) {
		status, f.Location = fiber.StatusUnprocessableEntity, place
	}
	return ctx.Status(status).JSON(f)
}

// authorize finds the team of the token. Every team's hash is compared, so the
// time taken tells nothing about which one fits.
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

func teamOf(ctx fiber.Ctx) string {
	team, _ := ctx.Locals("team").(string)
	return team
}

func read(ctx fiber.Ctx, v any) error {
	d := json.NewDecoder(strings.NewReader(string(ctx.Body())))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "request body: "+err.Error())
	}
	return nil
}

func timed(ctx fiber.Ctx) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx.Context(), operatorTimeout)
}

// current returns a state that holds everything accepted before the call.
func (c *Controller) current(ctx fiber.Ctx) (applier.State, error) {
	call, cancel := timed(ctx)
	defer cancel()
	s, err := c.Confirmed(call)
	if err != nil {
		return s, fiber.NewError(fiber.StatusServiceUnavailable, "this control host cannot reach a leader: "+err.Error())
	}
	return s, nil
}

// run proposes an edit and writes its result.
func (c *Controller) run(ctx fiber.Ctx, cmd applier.Command) error {
	call, cancel := timed(ctx)
	defer cancel()
	r, err := c.propose(call, cmd)
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

func checkEditID(id string) error {
	if id == "" || len(id) > maxEditIDBytes {
		return fiber.NewError(fiber.StatusBadRequest, "editId must have 1 to "+strconv.Itoa(maxEditIDBytes)+" bytes")
	}
	return nil
}

func (c *Controller) listSections(ctx fiber.Ctx) error {
	s, err := c.current(ctx)
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

func (c *Controller) showSection(ctx fiber.Ctx) error {
	s, err := c.current(ctx)
	if err != nil {
		return err
	}
	sec, ok := s.Section(ctx.Params("name"))
	if !ok {
		return fiber.NewError(fiber.StatusNotFound, "no section "+strconv.Quote(ctx.Params("name")))
	}
	return ctx.JSON(sec)
}

func (c *Controller) editSection(ctx fiber.Ctx) error {
	var req EditRequest
	if err := read(ctx, &req); err != nil {
		return err
	}
	if err := checkEditID(req.EditID); err != nil {
		return err
	}
	return c.run(ctx, applier.EditSection{
		EditID: req.EditID, Section: strings.Clone(ctx.Params("name")), Team: teamOf(ctx), Action: req.Action,
		BaseRevision: req.BaseRevision, Body: []byte(req.Body), RestoreRevision: req.RestoreRevision, At: time.Now(),
	})
}

// validateSection merges the section with the others as an edit would.
func (c *Controller) validateSection(ctx fiber.Ctx) error {
	var req ValidateRequest
	if err := read(ctx, &req); err != nil {
		return err
	}
	s, err := c.current(ctx)
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

func (c *Controller) listServices(ctx fiber.Ctx) error {
	s, err := c.current(ctx)
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

func (c *Controller) listMoves(ctx fiber.Ctx) error {
	s, err := c.current(ctx)
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

func (c *Controller) beginMove(ctx fiber.Ctx) error {
	var req MoveRequest
	if err := read(ctx, &req); err != nil {
		return err
	}
	if err := checkEditID(req.EditID); err != nil {
		return err
	}
	if req.Preference == "" {
		req.Preference = applier.PreferCaution
	}
	if why := decider.InfeasibleReason(time.Now(), req.Deadline); why != "" {
		return ctx.Status(fiber.StatusUnprocessableEntity).JSON(applier.Result{EditID: req.EditID, Outcome: applier.OutcomeRefused, Message: why})
	}
	return c.run(ctx, applier.BeginMove{
		EditID: req.EditID, Service: req.Service, From: req.From, To: req.To, Deadline: req.Deadline,
		Preference: req.Preference, Team: teamOf(ctx), At: time.Now(),
	})
}

func (c *Controller) cancelMove(ctx fiber.Ctx) error {
	var req CancelRequest
	if err := read(ctx, &req); err != nil {
		return err
	}
	if err := checkEditID(req.EditID); err != nil {
		return err
	}
	return c.run(ctx, applier.CancelMove{EditID: req.EditID, Service: strings.Clone(ctx.Params("service")), Team: teamOf(ctx), At: time.Now()})
}

func (c *Controller) listEvents(ctx fiber.Ctx) error {
	after, err := strconv.ParseUint(ctx.Query("after", "0"), 10, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "after must be an event's index")
	}
	s, err := c.current(ctx)
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

// showStatus works without a leader too, so that operators see what is wrong.
func (c *Controller) showStatus(ctx fiber.Ctx) error {
	s := c.state.State()
	v := StatusView{ReportingHost: c.Name, Version: s.Version, Revision: s.Revision, Claims: c.register.Len()}
	for _, m := range c.members {
		v.Groups = append(v.Groups, GroupView{m.group.Name, m.group.Status()})
	}
	v.Nodes = c.sight.list()
	r := c.redirect(c.members[configPlace])
	if c.leads() || r.Leader == "" {
		return ctx.JSON(v)
	}
	call, cancel := timed(ctx)
	defer cancel()
	var reply messenger.NodesReply
	if err := c.pool.Get(r.Leader).Call(call, messenger.MethodNodes, messenger.Empty{}, &reply); err == nil && !reply.NotLeader {
		v.Nodes = reply.Sightings
	}
	return ctx.JSON(v)
}

// identifyHost asks a control host at an address who it is.
func (c *Controller) identifyHost(ctx fiber.Ctx) error {
	call, cancel := timed(ctx)
	defer cancel()
	var reply messenger.IdentifyReply
	address := strings.Clone(ctx.Query("address"))
	if err := c.pool.Get(address).Call(call, messenger.MethodIdentify, messenger.Empty{}, &reply); err != nil {
		return fiber.NewError(fiber.StatusServiceUnavailable, err.Error())
	}
	return ctx.JSON(reply)
}

// postMember changes the members of a group, on whichever host leads it.
func (c *Controller) postMember(ctx fiber.Ctx) error {
	var args messenger.MemberArgs
	if err := read(ctx, &args); err != nil {
		return err
	}
	call, cancel := timed(ctx)
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
		return fiber.NewError(fiber.StatusServiceUnavailable, "no control host leads the group")
	}
	if reply.Failure != "" {
		return fiber.NewError(fiber.StatusConflict, reply.Failure)
	}
	return ctx.JSON(messenger.Empty{})
}
