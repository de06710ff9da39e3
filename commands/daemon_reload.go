package commands

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"github.com/hornbeamrack/hornbeamrack/process/configurer"
)

// reloadInterval is the time between two looks at the settings file.
const reloadInterval = time.Second

// reloader takes over settings that change while the process runs: on SIGHUP,
// and when the file has changed. Settings that cannot change are named in a
// log line; they hold after the next start.
type reloader struct {
	file  string
	hup   <-chan os.Signal // hup gets a value for each SIGHUP since the start of the process.
	parts *parts
	raw   []byte
}

// run watches until ctx ends.
func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	raw, err := os.ReadFile(r.file)
	if err != nil {
		r.parts.log.Warn("settings file cannot be read", "err", err)
	}
	r.raw = raw
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hup:
			r.reload("signal")
		case <-ticker.C:
			r.reload("file")
		}
	}
}

// reload takes over the file if it has changed.
func (r *reloader) reload(cause string) {
	raw, err := os.ReadFile(r.file)
	if err == nil && bytes.Equal(raw, r.raw) {
		if cause == "signal" {
			r.parts.log.Info("settings unchanged", "cause", cause)
		}
		return
	}
	var next configurer.Settings
	if err == nil {
		r.raw = raw
		next, err = configurer.Load(r.file)
	}
	if err != nil {
		r.parts.log.Error("settings not reloaded; the earlier ones stay in force", "cause", cause, "err", err)
		return
	}
	r.take(next)
	r.parts.log.Info("settings reloaded", "cause", cause, "seeds", next.Discovery.Seeds, "service", next.Edge.Service)
}

func (r *reloader) take(next configurer.Settings) {
	p := r.parts
	if len(next.Discovery.Seeds) > 0 {
		p.hosts.SetSeeds(next.Discovery.SeedAddresses())
	}
	if p.node != nil {
		p.node.SetOrigin(next.Edge.Service)
	}
	old := p.settings
	old.Discovery, old.Edge.Service = next.Discovery, next.Edge.Service
	old.Node.ControlAddresses = next.Node.ControlAddresses
	if !reflect.DeepEqual(old, next) {
		p.log.Warn("some changed settings hold only after a restart")
	}
}
