package checked

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// position returns the line and column of an offset, both counted from 1.
func position(data []byte, offset int64) (line, column int) {
	before := data[:min(offset, int64(len(data)))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// valueOffsets returns the offset in data at which each value starts, by its path.
func valueOffsets(data []byte) map[string]int64 {
	w := walker{dec: json.NewDecoder(bytes.NewReader(data)), data: data, offsets: map[string]int64{}}
	w.readValue("")
	return w.offsets
}

// walker records the offset of each value while it reads a document.
type walker struct {
	dec     *json.Decoder
	data    []byte
	offsets map[string]int64
}

// readValue reads one value and records the offsets of it and of the values inside it.
func (w *walker) readValue(path string) {
	w.offsets[path] = w.nextValueOffset()
	t, err := w.dec.Token()
	if err != nil {
		return
	}
	switch t {
	case json.Delim('{'):
		w.readObject(path)
	case json.Delim('['):
		w.readArray(path)
	}
}

func (w *walker) readObject(path string) {
	for w.dec.More() {
		name, err := w.dec.Token()
		if err != nil {
			return
		}
		key, _ := name.(string)
		w.readValue(path + "/" + key)
	}
	_, _ = w.dec.Token()
}

func (w *walker) readArray(path string) {
	for i := 0; w.dec.More(); i++ {
		w.readValue(path + "/" + strconv.Itoa(i))
	}
	_, _ = w.dec.Token()
}

// nextValueOffset returns the offset of the next value, after any separators and whitespace.
func (w *walker) nextValueOffset() int64 {
	offset := w.dec.InputOffset()
	for offset < int64(len(w.data)) && bytes.IndexByte([]byte(" \t\r\n:,"), w.data[offset]) >= 0 {
		offset++
	}
	return offset
}
