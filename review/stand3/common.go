package main

import (
	"fmt"
	"strings"
	"time"
)

const testHost = "shop.example"

// rule returns one rule of a configuration; action holds its services.
func rule(name, kind, prefix, action string, timeoutMs, attempts int) string {
	return fmt.Sprintf(`{"name":%q,"kind":%q,"sloMs":600,"priority":1,"match":{"prefix":%q},"action":{%s,"timeoutMs":%d,"attempts":%d}}`, name, kind, prefix, action, timeoutMs, attempts)
}

// document returns a configuration with the given rules and the services orders and render.
func document(version int, rules ...string) string {
	return fmt.Sprintf(`{"version":"r%d","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"listeners":[{"host":%q,"rules":[%s]}],`+
		`"clusters":[{"name":"orders","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false},{"name":"render","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}]}`,
		version, testHost, strings.Join(rules, ","))
}

var zones = []string{"bkk-a", "bkk-b", "bkk-c"}

// startControl starts three control hosts.
func (c *cluster) startControl() error {
	for i := range 3 {
		if err := c.start(c.addMachine("control.yaml", "", zones[i]), true); err != nil {
			return err
		}
	}
	return nil
}

// startNodes starts n machines with a node each.
func (c *cluster) startNodes(n int, service string) ([]*machine, error) {
	var list []*machine
	for i := range n {
		m := c.addMachine("node.yaml", service, zones[i%3])
		if err := c.start(m, false); err != nil {
			return nil, err
		}
		list = append(list, m)
	}
	return list, nil
}

// startServers starts a server beside each of the machines; round tells the incarnations of
// one version apart.
func (c *cluster) startServers(list []*machine, version string, round, slots int, work time.Duration) ([]*server, error) {
	var out []*server
	for _, m := range list {
		s, err := startServer(c, m, fmt.Sprintf("i-%s-%d-%s", version, round, m.name), m.service, version, slots, work)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// totalRuns returns the number of requests that the servers began to run.
func totalRuns(list []*server) int64 {
	var n int64
	for _, s := range list {
		n += s.runs.Load()
	}
	return n
}

// awaitRollout asks for the state of a rollout every half second until it is the wanted one,
// and returns the last one.
func (c *cluster) awaitRollout(r *recorder, service, want string, limit time.Duration) (string, bool) {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		status, text := c.order("GET", "/hornbeamrack/rollouts/"+service+"/get", nil, "", 2*time.Second)
		if text != last {
			r.sayf("state of the rollout: %d %s", status, text)
			last = text
		}
		if strings.Contains(text, `"`+want+`"`) {
			return text, true
		}
	}
	return last, false
}
