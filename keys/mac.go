package keys

import (
	"crypto/hmac"
	"crypto/sha256"
)

// macSize is the length in bytes of the message authentication code (a truncated
// HMAC-SHA-256) in front of a datagram's payload.
const macSize = 16

// Sign returns the payload preceded by its message authentication code under the key
// to send. The payload is not encrypted.
func (r *Ring) Sign(payload []byte) []byte {
	r.mu.RLock()
	key := sha256.Sum256([]byte(r.primary))
	r.mu.RUnlock()
	return append(computeMAC(key, payload), payload...)
}

// Verify returns the payload of a datagram from Sign if its code matches any accepted
// key, and false otherwise.
func (r *Ring) Verify(signed []byte) ([]byte, bool) {
	if len(signed) < macSize {
		return nil, false
	}
	payload := signed[macSize:]
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, key := range r.digests {
		if hmac.Equal(signed[:macSize], computeMAC(key, payload)) {
			return payload, true
		}
	}
	return nil, false
}

func computeMAC(key [sha256.Size]byte, payload []byte) []byte {
	mac := hmac.New(sha256.New, key[:])
	_, _ = mac.Write(payload)
	return mac.Sum(nil)[:macSize]
}
