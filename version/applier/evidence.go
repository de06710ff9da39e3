package applier

// Evidence is what one node saw of one target version on one route of a
// service, since its last report.
type Evidence struct {
	Service, Version, Route string
	Unsafe                  bool
	Requests, Failures      uint64
	SlowSum                 float64 // SlowSum is the sum of latencies, in seconds.
	Slow                    uint64  // Slow counts requests above the slowness bound.
}
