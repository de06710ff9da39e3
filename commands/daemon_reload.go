package commands

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"github.com/hornbeamrack/hornbeamrack/process/configurer"
)

// reloadInterval is the time between two reads of the settings file.
const reloadInterval = time.Second

// reloader applies changed settings while the process runs: on SIGHUP, and when the
// content of the file has changed. Changes to settings that take effect only at a
// start are reported by a log line.
type reloader struct {
	file    string
	hangUps <-chan os.Signal // hangUps receives each SIGHUP since the start of the process.
	daemon  *daemon
	raw     []byte // raw is the content of the file at the last reload.
}

// run watches the file and the signal until ctx ends.
func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	raw, err := os.ReadFile(r.file)
	if err != nil {
		r.daemon.log.Warn("settings file cannot be read", "err", err)
	}
	r.raw = raw
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangUps:
			r.reload("signal")
		case <-ticker.C:
			r.reload("file")
		}
	}
}

// reload applies the file if its content has changed since the last reload. If it
// cannot be read or is not valid, the settings in force stay.
func (r *reloader) reload(cause string) {
	raw, err := os.ReadFile(r.file)
	if err == nil && bytes.Equal(raw, r.raw) {
		if cause == "signal" {
			r.daemon.log.Info("settings unchanged", "cause", cause)
		}
		return
	}
	var next configurer.Settings
	if err == nil {
		r.raw = raw
		next, err = configurer.Load(r.file)
	}
	if err != nil {
		r.daemon.log.Error("settings not reloaded; the previous settings stay in force", "cause", cause, "err", err)
		return
	}
	r.apply(next)
	r.daemon.log.Info("settings reloaded", "cause", cause, "seeds", next.Discovery.Seeds, "service", next.Edge.Service)
}

// apply puts the seeds and the edge's service into force, and logs a warning if other
// settings differ from those that the process started with.
func (r *reloader) apply(next configurer.Settings) {
	d := r.daemon
	if len(next.Discovery.Seeds) > 0 {
		d.hosts.SetSeeds(next.Discovery.SeedAddresses())
	}
	if d.node != nil {
		d.node.SetOrigin(next.Edge.Service)
	}
	old := d.settings
	old.Discovery, old.Edge.Service = next.Discovery, next.Edge.Service
	old.Node.ControlAddresses = next.Node.ControlAddresses
	if !reflect.DeepEqual(old, next) {
		d.log.Warn("some changed settings take effect only after a restart")
	}
}
