package controller

import (
	"context"
	"io"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/recorder"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
	"github.com/hornbeamrack/hornbeamrack/request/claimer"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// fillableDisk is a folder that takes no bytes while it is full.
type fillableDisk struct {
	recorder.Folder
	full *atomic.Bool
}

// fillableFile is a file of a fillableDisk.
type fillableFile struct {
	recorder.File
	full *atomic.Bool
}

// Append implements recorder.Disk.
func (d fillableDisk) Append(name string) (recorder.File, error) {
	if d.full.Load() {
		return nil, syscall.ENOSPC
	}
	f, err := d.Folder.Append(name)
	return fillableFile{f, d.full}, err
}

// Replace implements recorder.Disk.
func (d fillableDisk) Replace(name string, content []byte) error {
	if d.full.Load() {
		return syscall.ENOSPC
	}
	return d.Folder.Replace(name, content)
}

// Write implements recorder.File.
func (f fillableFile) Write(b []byte) (int, error) {
	if f.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}

// newHostOnFillableDisk returns a control host that is the only member of its groups and
// runs on a disk that is full when full is set.
func newHostOnFillableDisk(t *testing.T, full *atomic.Bool) *Controller {
	t.Helper()
	c := &Controller{DataFolder: t.TempDir(), Log: log.New(io.Discard), state: &applier.Applier{}, registry: &claimer.Registry{}}
	c.identity.ID = "only-member"
	c.identity.InitialMembership = replicator.Membership{}.WithMember(replicator.Member{ID: c.identity.ID, Address: "127.0.0.1:1"})
	c.pool, c.groupPool = c.newPool(), c.newPool()
	c.replicas[configIndex] = c.newGroupReplica(messenger.GroupConfig, c.state)
	c.replicas[claimsIndex] = c.newGroupReplica(messenger.GroupClaims, c.registry)
	for _, m := range c.replicas {
		m.group.Recorder.Disk = fillableDisk{recorder.Folder{Path: t.TempDir()}, full}
	}
	return c
}

// TestFullDiskEndsControlHost guards against a control host that a disk without room for a
// while takes out of its groups until it is restarted.
func TestFullDiskEndsControlHost(t *testing.T) {
	is := is.New(t)
	var full atomic.Bool
	c := newHostOnFillableDisk(t, &full)
	ctx, cancel := context.WithCancel(t.Context())
	for _, m := range c.replicas {
		is.NoErr(m.open(c.identity.InitialMembership))
		c.tasks.Go(func() { c.runGroup(ctx, m) })
	}
	t.Cleanup(func() { cancel(); c.tasks.Wait() })
	c.joined.Store(true)
	awaitLeadership(t, c)
	is.True(c.Ready())

	full.Store(true)
	for _, group := range []string{messenger.GroupConfig, messenger.GroupClaims} {
		call, end := context.WithTimeout(ctx, commandTimeout)
		reply := c.proposeHere(call, group, claimOrReport(t, group))
		end()
		is.True(reply.NotLeader || reply.Failure != "") // nothing is acknowledged that is not on the disk
	}
	is.True(!c.Ready())

	full.Store(false)
	awaitLeadership(t, c)
	is.True(c.Ready())
	for _, group := range []string{messenger.GroupConfig, messenger.GroupClaims} {
		call, end := context.WithTimeout(ctx, 5*time.Second)
		reply := c.proposeHere(call, group, claimOrReport(t, group))
		end()
		is.True(!reply.NotLeader)
		is.Equal(reply.Failure, "")
	}
}

// claimOrReport returns a command that the group accepts.
func claimOrReport(t *testing.T, group string) []byte {
	t.Helper()
	if group == messenger.GroupClaims {
		b, err := encoder.Marshal(claimer.Command{Key: "designs\x00k", Attempt: "a", Action: claimer.ActionClaim})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	b, err := applier.Encode(applier.ReportCrash{Service: "designs", Node: "node-1", At: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestFullDiskDuringTheStartEndsProcess guards against a process that ends when its disk
// has no room at its start, and takes a node with it.
func TestFullDiskDuringTheStartEndsProcess(t *testing.T) {
	is := is.New(t)
	var full atomic.Bool
	full.Store(true)
	c := newHostOnFillableDisk(t, &full)
	opened := make(chan error, 1)
	go func() { opened <- c.openReplica(t.Context(), c.replicas[configIndex]) }()
	select {
	case err := <-opened:
		t.Fatalf("the replica is given up on a full disk: %v", err)
	case <-time.After(3 * diskRetryInterval):
	}
	full.Store(false)
	is.NoErr(<-opened)
}
