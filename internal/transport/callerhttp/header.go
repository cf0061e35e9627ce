package callerhttp

import (
	"bytes"
	"strconv"
	"strings"
)

// maxLengthDigits is the number of digits of the longest body.
const maxLengthDigits = 15

// framing says where the body of a message ends.
type framing struct {
	length  int64
	chunked bool
}

// checkHeader returns the framing of the message with a header, which ends with an empty
// line. It replaces the line breaks of folded lines by spaces.
func checkHeader(header []byte) (framing, *rejection) {
	line, rest, _ := bytes.Cut(header, []byte("\r\n"))
	oldVersion, ok := checkRequestLine(line)
	if !ok {
		return framing{}, malformed("malformed request line")
	}
	if isFold(rest) {
		return framing{}, malformed("space before the first header field")
	}
	unfold(rest)
	lengths, encodings := 0, 0
	var body framing
	for {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if len(line) == 0 {
			break
		}
		name, value, ok := splitField(line)
		switch {
		case !ok:
			return framing{}, malformed("malformed header field")
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			if body.length, ok = parseLength(value); !ok {
				return framing{}, malformed("malformed length")
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return framing{}, malformed("unknown transfer encoding")
			}
			body.chunked = true
		}
	}
	switch {
	case lengths > 1 || encodings > 1:
		return framing{}, malformed("message states its length more than once")
	case lengths > 0 && encodings > 0:
		return framing{}, malformed("message states both a length and an encoding in chunks")
	case oldVersion && encodings > 0:
		return framing{}, malformed("HTTP/1.0 has no transfer encodings")
	}
	return body, nil
}

// checkRequestLine reports whether a line is a request line, and whether its version is
// HTTP/1.0.
func checkRequestLine(line []byte) (oldVersion, ok bool) {
	method, rest, _ := strings.Cut(string(line), " ")
	target, version, _ := strings.Cut(rest, " ")
	for i := range len(target) {
		if target[i] <= ' ' || target[i] == 0x7f {
			return false, false
		}
	}
	oldVersion = version == "HTTP/1.0"
	return oldVersion, isToken([]byte(method)) && target != "" && (oldVersion || version == "HTTP/1.1")
}

// isFold reports whether a line begins with a space, so that it continues the one before.
func isFold(line []byte) bool {
	return len(line) > 0 && (line[0] == ' ' || line[0] == '\t')
}

// unfold replaces the line breaks before lines that continue others by spaces.
func unfold(lines []byte) {
	for i := 0; ; i += 2 {
		next := bytes.Index(lines[i:], []byte("\r\n"))
		if next < 0 {
			return
		}
		i += next
		if isFold(lines[i+2:]) {
			lines[i], lines[i+1] = ' ', ' '
		}
	}
}

// splitField splits a header field into its name and value. It returns false if the field
// is malformed.
func splitField(line []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(line, []byte(":"))
	return name, bytes.Trim(value, " \t"), ok && isToken(name) && isText(value)
}

// parseLength parses a Content-Length.
func parseLength(text []byte) (length int64, ok bool) {
	if len(text) == 0 || len(text) > maxLengthDigits {
		return 0, false
	}
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0, false
		}
	}
	length, err := strconv.ParseInt(string(text), 10, 64)
	return length, err == nil
}

// isToken reports whether a text can be a method or the name of a field.
func isToken(text []byte) bool {
	for _, c := range text {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether a text has no control characters but tabs.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func isHexadecimal(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// tokenBytes has the bytes that may be in a token (RFC 9110, section 5.6.2).
var tokenBytes = func() (is [256]bool) {
	const allowed = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for _, c := range []byte(allowed) {
		is[c] = true
	}
	return is
}()
