package daemon

import (
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/keys"
)

// keyPeriod is the time between two looks at the key files.
const keyPeriod = 5 * time.Second

// readKeys reads the key files of the settings.
func (d *Daemon) readKeys() error {
	var err error
	if d.operatorKeys, err = keys.Read(d.options.Process.Keys.Operators); err != nil {
		return trace.Wrap(err)
	}
	d.instanceKeys, err = keys.Read(d.options.Process.Keys.Instances)
	return trace.Wrap(err)
}

// rereadKeys looks at the key files now and then, so that keys rotate without
// a restart.
func (d *Daemon) rereadKeys() {
	ticker := time.NewTicker(keyPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-d.stopping.Done():
			return
		case <-ticker.C:
			d.reload(d.operatorKeys, d.options.Process.Keys.Operators)
			d.reload(d.instanceKeys, d.options.Process.Keys.Instances)
		}
	}
}

func (d *Daemon) reload(ring *keys.Ring, path string) {
	changed, err := ring.Reload()
	switch {
	case err != nil:
		events.KeysUnreadable.Log(d.options.Log, zap.String("file", path), zap.Error(err))
	case changed:
		events.KeysReread.Log(d.options.Log, zap.String("file", path))
	}
}
