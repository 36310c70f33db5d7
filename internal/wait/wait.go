// Package wait waits for a time or for the end of a context.
package wait

import (
	"context"
	"time"
)

// For waits, or returns early with the context's error.
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
