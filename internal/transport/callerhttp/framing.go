package callerhttp

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

const (
	// MaxHeader is the largest request header that is accepted, in bytes.
	MaxHeader = 32 << 10
	// maxLine bounds the line with the length of a chunk, and maxTrailer the fields after
	// the last chunk, in bytes.
	maxLine    = 256
	maxTrailer = 4 << 10
	// maxChunkDigits is the number of hexadecimal digits of the longest chunk.
	maxChunkDigits = 8
	bufferBytes    = 4 << 10
	// maxSkipped is the number of bytes of line breaks that are skipped before a message.
	maxSkipped = 8
)

// errFraming means that a chunked body is malformed.
const errFraming = errors.ConstError("malformed chunked body")

// rejection is the reason why a message is not accepted.
type rejection struct {
	status int
	reason string
}

// noMemory rejects a message whose header finds no memory. It has not run.
var noMemory = &rejection{
	status: http.StatusServiceUnavailable,
	reason: "no memory is left for the header",
}

func malformed(reason string) *rejection {
	return &rejection{
		status: http.StatusBadRequest,
		reason: reason,
	}
}

// position is the part of a message that comes next.
type position uint8

const (
	atHeader    position = iota + 1
	inBody               // of a stated length
	atChunk              // line with the length of a chunk
	inChunk              // content of a chunk
	atChunkEnd           // line break after the content of a chunk
	atTrailer            // a field after the last chunk, or the line that ends the message
	atRejection          // nothing after the header of a rejected message is read
	atFault              // nothing after a malformed chunk is read
)

// framingReader reads a series of requests and passes them on if each has only one
// reading. A request that could be read in two ways is replaced by placeholder, and
// nothing is read after it. Folded lines are unfolded.
//
// An error of the source does not change the state, since a server reads on after the end
// of a time limit.
type framingReader struct {
	source   io.Reader
	onReject func(r *rejection)
	// reserve takes the memory for a header of a number of bytes and fields. It returns
	// false if there is none.
	reserve func(bytes, fields int) bool
	buffer  []byte // holds pending
	pending []byte // read from the source, not passed on yet
	ready   []byte // checked, to be passed on next
	next    position
	skipped int   // bytes of line breaks before the message
	left    int64 // bytes of the body or of the chunk, if inside one; bytes of trailer fields so far
}

// placeholderMethod and placeholder replace a request that is rejected.
const (
	placeholderMethod = "REJECTED"
	placeholder       = placeholderMethod + " / HTTP/1.1\r\nHost: rejected\r\nConnection: close\r\n\r\n"
)

func newFramingReader(source io.Reader, onReject func(r *rejection), reserve func(bytes, fields int) bool) *framingReader {
	return &framingReader{
		source:   source,
		onReject: onReject,
		reserve:  reserve,
		next:     atHeader,
	}
}

// inBody reports whether the next bytes belong to a body.
func (f *framingReader) inBody() bool {
	return f.next != atHeader && f.next != atRejection && (f.next != inBody || f.left > 0)
}

// inHeader reports whether a part of a header has been read, and the rest has not.
func (f *framingReader) inHeader() bool { return f.next == atHeader && len(f.pending) > 0 }

// Read implements io.Reader.
func (f *framingReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		if len(f.ready) > 0 {
			n := copy(p, f.ready)
			f.ready = f.ready[n:]
			return n, nil
		}
		if (f.next == inBody || f.next == inChunk) && f.left > 0 {
			return f.readContent(p)
		}
		if err := f.advance(); err != nil {
			return 0, err
		}
	}
}

// readContent reads a part of the body or of a chunk.
func (f *framingReader) readContent(p []byte) (int, error) {
	p = p[:min(int64(len(p)), f.left)]
	if len(f.pending) > 0 {
		n := copy(p, f.pending)
		f.pending = f.pending[n:]
		f.left -= int64(n)
		return n, nil
	}
	n, err := f.source.Read(p)
	f.left -= int64(n)
	return n, err
}

// advance reads the next part of a message that is not content, and makes it ready.
func (f *framingReader) advance() error {
	switch f.next {
	case atHeader:
		return f.readHeader()
	case inBody:
		f.next = atHeader
	case atChunk:
		return f.readChunkLine()
	case inChunk:
		f.next = atChunkEnd
	case atChunkEnd:
		return f.readChunkEnd()
	case atTrailer:
		return f.readTrailer()
	case atRejection:
		return io.EOF
	case atFault:
		return errFraming
	}
	return nil
}

// readHeader reads and checks a header. A message that is not accepted is replaced.
func (f *framingReader) readHeader() error {
	const end = "\r\n\r\n"
	for searched := 0; ; {
		if !f.skipLineBreaks() {
			f.reject(malformed("line breaks before a message"))
			return nil
		}
		if i := bytes.Index(f.pending[searched:], []byte(end)); i >= 0 {
			f.acceptHeader(f.take(searched + i + len(end)))
			return nil
		}
		if hasBareLineFeed(f.pending) {
			f.reject(malformed("line break without carriage return"))
			return nil
		}
		searched = max(0, len(f.pending)-len(end)+1)
		if len(f.pending) >= MaxHeader {
			f.reject(&rejection{
				status: http.StatusRequestHeaderFieldsTooLarge,
				reason: "header exceeds " + strconv.Itoa(MaxHeader) + " bytes",
			})
			return nil
		}
		if len(f.pending) >= bufferBytes && !f.reserve(min(2*len(f.pending), MaxHeader), 0) {
			f.reject(noMemory)
			return nil
		}
		if err := f.fill(MaxHeader); err != nil {
			return err
		}
	}
}

// hasBareLineFeed reports whether a header has a line feed without a carriage return, so
// that it may never have a proper end.
func hasBareLineFeed(header []byte) bool {
	for i := bytes.IndexByte(header, '\n'); i >= 0; {
		if i == 0 || header[i-1] != '\r' {
			return true
		}
		next := bytes.IndexByte(header[i+1:], '\n')
		if next < 0 {
			return false
		}
		i += 1 + next
	}
	return false
}

// skipLineBreaks drops line breaks before a message, which some callers send after a body.
// It returns false if there are too many: a caller that sends nothing else would seem busy
// without end.
func (f *framingReader) skipLineBreaks() bool {
	before := len(f.pending)
	f.pending = bytes.TrimLeft(f.pending, "\r\n")
	f.skipped += before - len(f.pending)
	return f.skipped <= maxSkipped
}

func (f *framingReader) acceptHeader(header []byte) {
	f.skipped = 0
	framing, rejected := checkHeader(header)
	if rejected == nil && !f.reserve(len(header), bytes.Count(header, []byte("\r\n"))) {
		rejected = noMemory
	}
	if rejected != nil {
		f.reject(rejected)
		return
	}
	f.ready = header
	f.left = framing.length
	f.next = inBody
	if framing.chunked {
		f.next = atChunk
	}
}

func (f *framingReader) reject(r *rejection) {
	f.onReject(r)
	f.ready = []byte(placeholder)
	f.pending = nil
	f.next = atRejection
}

// readLine returns the next line, or errFraming if it is longer than limit bytes or does
// not end with a proper line break.
func (f *framingReader) readLine(limit int) ([]byte, error) {
	for {
		if i := bytes.IndexByte(f.pending, '\n'); i >= 0 {
			line := f.pending[:i+1]
			if len(line) > limit || !bytes.HasSuffix(line, []byte("\r\n")) {
				return nil, f.fail()
			}
			return f.take(len(line)), nil
		}
		if len(f.pending) >= limit {
			return nil, f.fail()
		}
		if err := f.fill(limit); err != nil {
			return nil, err
		}
	}
}

func (f *framingReader) fail() error {
	f.next = atFault
	return errFraming
}

func (f *framingReader) readChunkLine() error {
	line, err := f.readLine(maxLine)
	if err != nil {
		return err
	}
	size, ok := chunkSize(line[:len(line)-2])
	if !ok {
		return f.fail()
	}
	f.ready = line
	f.left = size
	f.next = inChunk
	if size == 0 {
		f.next = atTrailer
	}
	return nil
}

func (f *framingReader) readChunkEnd() error {
	line, err := f.readLine(len("\r\n"))
	if err != nil {
		return err
	}
	f.ready = line
	f.next = atChunk
	return nil
}

func (f *framingReader) readTrailer() error {
	line, err := f.readLine(maxTrailer - int(f.left))
	if err != nil {
		return err
	}
	f.ready = line
	f.left += int64(len(line))
	if len(line) == len("\r\n") {
		f.left = 0
		f.next = atHeader
		return nil
	}
	if _, _, ok := splitField(line[:len(line)-2]); !ok {
		f.ready = nil
		return f.fail()
	}
	return nil
}

// take removes and returns the first n pending bytes. They are valid until the next fill.
func (f *framingReader) take(n int) []byte {
	taken := f.pending[:n:n]
	f.pending = f.pending[n:]
	return taken
}

// fill reads more pending bytes, up to limit in all.
func (f *framingReader) fill(limit int) error {
	size := len(f.buffer)
	switch {
	case size == 0, len(f.pending) < bufferBytes && size > bufferBytes:
		size = bufferBytes
	case len(f.pending) == size:
		size = min(2*size, max(limit, bufferBytes))
	}
	if size != len(f.buffer) {
		f.buffer = make([]byte, size)
	}
	n := copy(f.buffer, f.pending)
	read, err := f.source.Read(f.buffer[n:])
	f.pending = f.buffer[:n+read]
	if read > 0 {
		return nil // an error occurs again
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// chunkSize returns the length of a chunk as its line states it. Extensions are ignored.
func chunkSize(line []byte) (size int64, ok bool) {
	digits, extension, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) == 0 || len(digits) > maxChunkDigits || !isText(extension) {
		return 0, false
	}
	for _, digit := range digits {
		if !isHexadecimal(digit) {
			return 0, false
		}
	}
	size, err := strconv.ParseInt(string(digits), 16, 64)
	return size, err == nil && size <= math.MaxInt32
}
