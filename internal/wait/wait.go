// Package wait provides a sleep that a context can cancel.
package wait

import (
	"context"
	"time"
)

// For sleeps for d, or returns early with the context's error.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
