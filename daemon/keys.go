package daemon

import (
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/keys"
)

// keyReloadInterval is the interval between two checks of the key files.
const keyReloadInterval = 5 * time.Second

// readKeys reads the key files that are named in the settings.
func (d *Daemon) readKeys() error {
	var err error
	if d.operatorKeys, err = keys.Read(d.options.Process.Keys.Operators); err != nil {
		return trace.Wrap(err)
	}
	d.instanceKeys, err = keys.Read(d.options.Process.Keys.Instances)
	return trace.Wrap(err)
}

// runKeyReload periodically reloads the key files, so that keys can be rotated
// without a restart.
func (d *Daemon) runKeyReload() {
	ticker := time.NewTicker(keyReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.runContext.Done():
			return
		case <-ticker.C:
			d.reloadKeys(d.operatorKeys, d.options.Process.Keys.Operators)
			d.reloadKeys(d.instanceKeys, d.options.Process.Keys.Instances)
		}
	}
}

// reloadKeys reloads one key file and logs changes and failures. After a failure
// the former keys stay valid.
func (d *Daemon) reloadKeys(ring *keys.Ring, path string) {
	changed, err := ring.Reload()
	switch {
	case err != nil:
		events.KeysUnreadable.Log(d.options.Log, zap.String("file", path), zap.Error(err))
	case changed:
		events.KeysReloaded.Log(d.options.Log, zap.String("file", path))
	}
}
