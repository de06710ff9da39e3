// Package sleeper waits for a duration or until a context ends.
//
// # Usage
//
//	sleeper.Sleep(ctx, 30*time.Millisecond)
//	sleeper.SleepOrSignal(ctx, time.Second, changed, stopped)
package sleeper

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx is done, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) { SleepOrSignal(ctx, d, nil, nil) }

// SleepOrSignal waits until d has passed, ctx is done, or a or b is closed or
// delivers a value. A nil channel is ignored.
func SleepOrSignal(ctx context.Context, d time.Duration, a, b <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a:
	case <-b:
	}
}
