package document

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"sort"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// Prefix is the prefix of the store keys of all documents.
	Prefix kv.Key = "service/"
	// KeptRevisions is the maximum number of preceding revisions in a stored value.
	KeptRevisions = 20
	// maxHistoryBytes limits the size of a decompressed history, so that a corrupt
	// value cannot exhaust memory. It holds 20 texts, each of which JSON escapes to
	// at most six times its size.
	maxHistoryBytes = KeptRevisions * (MaxTextBytes*6 + 4096)
)

// ErrMalformed means that a stored or received value is not a document.
const ErrMalformed = errors.ConstError("malformed document value")

// Stored is the decoded store value of a document.
type Stored struct {
	Current Versioned
	History []Versioned // preceding revisions, newest first; Text is nil if it was omitted
}

// record is the JSON of one revision.
type record struct {
	Revision ident.Revision `json:"revision"`
	Change   ident.ChangeID `json:"change"`
	Base     ident.Revision `json:"base"`
	Owner    ident.TeamName `json:"owner"`
	Team     ident.TeamName `json:"team"`
	Author   string         `json:"author"`
	Time     time.Time      `json:"time"`
	Text     *string        `json:"text,omitempty"`
}

// value is the JSON of a stored value. The history is compressed because every host
// lists all values each minute and revisions usually differ in a few lines only.
type value struct {
	record
	History []byte `json:"history,omitempty"` // gzip of a JSON array of record
}

// KeyOf returns the store key of a service's document.
func KeyOf(name ident.ServiceName) kv.Key {
	return Prefix + kv.Key(name)
}

// EncodeStored returns the store value of a document. If the value exceeds
// kv.MaxValueBytes, it omits as many texts of the history as needed, oldest first,
// but keeps the other fields of their revisions. The error is kv.ErrTooLarge if
// the value is too large without them.
func EncodeStored(stored Stored) ([]byte, error) {
	history := make([]record, 0, len(stored.History))
	for _, old := range stored.History {
		history = append(history, recordOf(old))
	}
	encoded, err := marshalValue(recordOf(stored.Current), history)
	if err == nil && len(encoded) > kv.MaxValueBytes {
		// Each attempt compresses the whole history, so a binary search is used
		// instead of dropping one text at a time.
		dropped := 1 + sort.Search(len(history), func(i int) bool {
			trimmed, err := marshalValue(recordOf(stored.Current), dropOldTexts(history, i+1))
			return err != nil || len(trimmed) <= kv.MaxValueBytes
		})
		encoded, err = marshalValue(recordOf(stored.Current), dropOldTexts(history, dropped))
	}
	if err != nil {
		return nil, errors.Annotate(err, "encode document")
	}
	if len(encoded) > kv.MaxValueBytes {
		return nil, errors.Annotate(kv.ErrTooLarge, "encode document")
	}
	return encoded, nil
}

// DecodeStored decodes a store value and parses its current text. The error is
// ErrMalformed, or a *ParseError if only the text is invalid. With a *ParseError the
// decoded value is returned too, and its Current.Service is nil.
func DecodeStored(name ident.ServiceName, encoded []byte) (Stored, error) {
	var v value
	if err := json.Unmarshal(encoded, &v); err != nil {
		return Stored{}, errors.Annotatef(ErrMalformed, "decode document %q: %v", name, err)
	}
	if v.Revision == 0 || v.Text == nil {
		return Stored{}, errors.Annotatef(ErrMalformed, "decode document %q: no revision or text", name)
	}
	stored := Stored{
		Current: versionedOf(v.record),
	}
	if len(v.History) > 0 {
		history, err := decompressHistory(v.History)
		if err != nil {
			return Stored{}, errors.Annotatef(ErrMalformed, "decode history of document %q: %v", name, err)
		}
		for _, old := range history {
			stored.History = append(stored.History, versionedOf(old))
		}
	}
	service, err := Parse(name, stored.Current.Text)
	if err != nil {
		return stored, errors.Annotatef(err, "parse revision %d", stored.Current.Revision)
	}
	stored.Current.Service = service
	return stored, nil
}

func recordOf(v Versioned) record {
	r := record{
		Revision: v.Revision,
		Change:   v.Change,
		Base:     v.Base,
		Owner:    v.Owner,
		Team:     v.Team,
		Author:   v.Author,
		Time:     v.Time,
	}
	if v.Text != nil {
		text := string(v.Text)
		r.Text = &text
	}
	return r
}

func versionedOf(r record) Versioned {
	v := Versioned{
		Revision: r.Revision,
		Change:   r.Change,
		Base:     r.Base,
		Owner:    r.Owner,
		Team:     r.Team,
		Author:   r.Author,
		Time:     r.Time,
	}
	if r.Text != nil {
		v.Text = []byte(*r.Text)
	}
	return v
}

// dropOldTexts returns a copy of the history without its oldest count texts.
func dropOldTexts(history []record, count int) []record {
	trimmed := slices.Clone(history)
	for i := max(0, len(trimmed)-count); i < len(trimmed); i++ {
		trimmed[i].Text = nil
	}
	return trimmed
}

func marshalValue(current record, history []record) ([]byte, error) {
	v := value{
		record: current,
	}
	if len(history) > 0 {
		var compressed bytes.Buffer
		writer := gzip.NewWriter(&compressed)
		if err := json.NewEncoder(writer).Encode(history); err != nil {
			return nil, err
		}
		if err := writer.Close(); err != nil {
			return nil, err
		}
		v.History = compressed.Bytes()
	}
	return json.Marshal(v)
}

func decompressHistory(compressed []byte) ([]record, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxHistoryBytes))
	if err != nil {
		return nil, err
	}
	var history []record
	err = json.Unmarshal(text, &history)
	return history, err
}
