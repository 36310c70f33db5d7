package logs

import (
	"slices"
	"unicode/utf8"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxFieldBytes bounds the text of a field, since clients choose some of it, such as the ID of a request.
	// maxErrorFieldBytes is the bound at error level and above, for stacks.
	maxFieldBytes      = 256
	maxErrorFieldBytes = 16 << 10
	// truncationMark ends a text that was truncated.
	truncationMark = "..."
)

// truncateFields returns the fields with texts of bounded length. It copies them only if one is too long.
func truncateFields(level zapcore.Level, fields []zapcore.Field) []zapcore.Field {
	limit := maxFieldBytes
	if level >= zapcore.ErrorLevel {
		limit = maxErrorFieldBytes
	}
	copied := false
	for i, f := range fields {
		text, ok := fieldText(f)
		if !ok || len(text) <= limit {
			continue
		}
		if !copied {
			fields, copied = slices.Clone(fields), true
		}
		fields[i] = zap.String(f.Key, truncate(text, limit))
	}
	return fields
}

// fieldText returns the text of a field of a kind whose length clients may determine.
func fieldText(f zapcore.Field) (string, bool) {
	switch f.Type {
	case zapcore.StringType:
		return f.String, true
	case zapcore.ErrorType:
		if err, ok := f.Interface.(error); ok && err != nil {
			return err.Error(), true
		}
	}
	return "", false
}

// truncate cuts a text between two characters.
func truncate(text string, limit int) string {
	end := limit - len(truncationMark)
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end] + truncationMark
}
