package daemon

import (
	"encoding/binary"
	"errors"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/store"
)

// bootEpochFile is the name of the file that holds the boot epoch of this
// instance's latest start.
const bootEpochFile = "boot"

// nextBootEpoch returns the boot epoch of this start: a number that is at least
// minimum and higher than that of every earlier start of this instance. The number
// is written to disk before it is used, because claims and request identifiers of
// two starts must never be confused. The wall clock serves as minimum, so that an
// instance that has lost its data folder does not reuse a number.
func nextBootEpoch(folder *store.DataDir, minimum uint64) (uint64, error) {
	boot := minimum
	raw, err := folder.ReadAtomic(bootEpochFile)
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &missing):
	case err != nil:
		return 0, trace.Wrap(err)
	case len(raw) == 8:
		boot = max(boot, binary.LittleEndian.Uint64(raw)+1)
	}
	raw = binary.LittleEndian.AppendUint64(nil, boot)
	return boot, trace.Wrap(folder.WriteAtomic(bootEpochFile, raw))
}
