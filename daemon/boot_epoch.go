package daemon

import (
	"encoding/binary"
	"errors"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/store"
)

// bootFile holds the number of this instance's newest life.
const bootFile = "boot"

// nextBoot returns a number that is higher than that of every earlier life of
// this instance, and at least atLeast. It is on disk before it is used: claims
// and request identities of two lives must never be taken for one another. The
// wall clock serves as atLeast, so that a lost data folder does not start again
// at a number already used.
func nextBoot(folder *store.Folder, atLeast uint64) (uint64, error) {
	boot := atLeast
	raw, err := folder.ReadAtomic(bootFile)
	var missing *store.Missing
	switch {
	case errors.As(err, &missing):
	case err != nil:
		return 0, trace.Wrap(err)
	case len(raw) == 8:
		boot = max(boot, binary.LittleEndian.Uint64(raw)+1)
	}
	raw = binary.LittleEndian.AppendUint64(nil, boot)
	return boot, trace.Wrap(folder.WriteAtomic(bootFile, raw))
}
