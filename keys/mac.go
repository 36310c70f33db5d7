package keys

import (
	"crypto/hmac"
	"crypto/sha256"
)

// macSize is the length in bytes of the code that Seal puts before a datagram.
const macSize = 16

// Sign returns the payload with a code before it that proves it comes from a
// holder of the key that is sent.
func (r *Ring) Sign(payload []byte) []byte {
	r.mu.RLock()
	key := sha256.Sum256([]byte(r.send))
	r.mu.RUnlock()
	return append(code(key, payload), payload...)
}

// Verify returns the payload of what Seal made with any of the accepted keys, and
// false for anything else.
func (r *Ring) Verify(sealed []byte) ([]byte, bool) {
	if len(sealed) < macSize {
		return nil, false
	}
	payload := sealed[macSize:]
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, key := range r.sums {
		if hmac.Equal(sealed[:macSize], code(key, payload)) {
			return payload, true
		}
	}
	return nil, false
}

func code(key [sha256.Size]byte, payload []byte) []byte {
	mac := hmac.New(sha256.New, key[:])
	_, _ = mac.Write(payload)
	return mac.Sum(nil)[:macSize]
}
