package resp

import (
	"strconv"
	"strings"
)

// ParseDecimal parses a number in plain digits with an optional point. It rejects signs, exponents and hexadecimal
// digits, which strconv accepts, because a backend may read them differently.
func ParseDecimal(s string) (value float64, ok bool) {
	if strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(s, 64)
	return value, err == nil
}
