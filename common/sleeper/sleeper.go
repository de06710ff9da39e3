// Package sleeper waits, but no longer than a context lasts.
//
// # Usage
//
//	sleeper.Sleep(ctx, 30*time.Millisecond)
//	sleeper.SleepOr(ctx, time.Second, changed, stopped)
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d or for the end of ctx, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) { SleepOrSignal(ctx, d, nil, nil) }

// SleepOrSignal waits for d, for the end of ctx, or for one of two channels; a nil
// channel never wakes.
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
