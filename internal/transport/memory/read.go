package memory

import (
	"context"
	"io"
)

// firstBytes is the size of the first buffer of a message that does not state its length.
const firstBytes = 4 << 10

// ReadAll reads a message of at most limit bytes and returns it; length is the length that
// it states, or negative. The lease covers the returned bytes. Errors are ErrTooLarge,
// ErrExhausted and those of the reader, of which io.EOF is the end of the message.
func (l *Lease) ReadAll(ctx context.Context, r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	largest := limit + 1 // one byte more shows that a message exceeds the limit
	if length >= 0 {
		largest = length + 1 // leaves room for the read that returns io.EOF
	}
	var message []byte
	for _, size := range bufferSizes(length, largest) {
		if err := l.Resize(ctx, size); err != nil {
			return nil, err
		}
		buffer := make([]byte, len(message), size)
		copy(buffer, message)
		message = buffer
		for len(message) < cap(message) {
			n, err := r.Read(message[len(message):cap(message)])
			message = message[:len(message)+n]
			switch {
			case err == io.EOF && int64(len(message)) > limit:
				return nil, ErrTooLarge
			case err == io.EOF:
				return message, nil
			case err != nil:
				return nil, err
			}
		}
	}
	return nil, ErrTooLarge
}

// bufferSizes returns the sizes of the buffers into which a message is read, one after the
// other, until it fits. A message that states a small length needs only one.
func bufferSizes(length, largest int64) []int64 {
	if length >= 0 && largest <= SmallBytes {
		return []int64{largest}
	}
	var sizes []int64
	for _, size := range []int64{firstBytes, SmallBytes} {
		if size < largest {
			sizes = append(sizes, size)
		}
	}
	return append(sizes, largest)
}
