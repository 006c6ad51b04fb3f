// Package answerheadtest has answers whose head violates RFC 9112, and unusual ones that are valid, for the
// tests of all programs that read answers.
package answerheadtest

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Body is the body of all answers here, unless a test chooses another.
const Body = "whole"

const (
	// chunked is a body in one chunk.
	chunked = "{hex length}\r\n{body}\r\n0\r\n\r\n"
	// another is an answer that follows an invalid one, or is its body.
	another = "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{names}\r\n{body}"
)

// Answer is a template of an answer: {names} stands for the fields that name its request, {body} for its body. In
// fields, {length} is the length of all that follows the head.
type Answer struct{ status, fields, body string }

// Text returns the answer as bytes. names are the fields that name its request, each with its line end.
func (a Answer) Text(names string) string { return a.TextWith(names, Body) }

// TextWith returns the answer with a body of the test's choice.
func (a Answer) TextWith(names, body string) string {
	content := strings.NewReplacer(
		"{names}", names, "{body}", body, "{length}", strconv.Itoa(len(body)), "{hex length}", strconv.FormatInt(int64(len(body)), 16),
	).Replace(a.body)
	return a.status + "\r\n" + names + strings.ReplaceAll(a.fields, "{length}", strconv.Itoa(len(content))) + "\r\n" + content
}

// withField returns an answer with a further line in its head.
func withField(line string) Answer {
	return Answer{"HTTP/1.1 200 OK", line + "\r\nContent-Length: {length}\r\n", "{body}"}
}

func withStatus(line string) Answer { return Answer{line, "Content-Length: {length}\r\n", "{body}"} }

// followed returns an answer without a body, which another one follows.
func followed(status string) Answer { return Answer{status, "", another} }

// Invalid returns answers that must not reach a caller, by name.
func Invalid() map[string]Answer {
	answers := map[string]Answer{
		"length, space before the colon":          {"HTTP/1.1 200 OK", "Content-Length : 3\r\n", "{body}"},
		"transfer coding, space before the colon": {"HTTP/1.1 200 OK", "Transfer-Encoding : chunked\r\n", chunked},
		"transfer coding, space in its name":      {"HTTP/1.1 200 OK", "Transfer Encoding: chunked\r\n", chunked},
		"transfer coding in HTTP/1.0":             {"HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", chunked},
		"informational, space in a name":          {"HTTP/1.1 103 Early Hints", "X Broken: 1\r\n", another},
		"status 000, its body is an answer":       {"HTTP/1.1 000 No", "Content-Length: {length}\r\n", another},
		"status 000, then an answer":              followed("HTTP/1.1 000 No"),
		"status 099, then an answer":              followed("HTTP/1.1 099 No"),
		"status +99, then an answer":              followed("HTTP/1.1 +99 No"),
		"status 101, then an answer":              followed("HTTP/1.1 101 Switching Protocols"),
		"control byte in the reason":              withStatus("HTTP/1.1 200 O\x00K"),
	}
	for _, name := range invalidNames() {
		answers[fmt.Sprintf("name %q", name)] = withField(name + ": 1")
	}
	for _, line := range []string{"X-Broken", " :", "\t:"} {
		answers[fmt.Sprintf("line %q", line)] = withField(line)
	}
	for _, value := range []string{"a\x00b", "a\x01b", "a\rb", "a\x1bb", "a\x7fb", "a\r\n b\x01"} {
		answers[fmt.Sprintf("value %q", value)] = withField("X-Broken: " + value)
	}
	for _, status := range []string{"", "000", "001", "099", "+20", "-00", "20", "2000", "0x0", "200OK", "101", "600", "999"} {
		answers["status "+status] = withStatus("HTTP/1.1 " + status + " OK")
	}
	for _, version := range []string{"HTTP/9.9", "HTTP/2.0", "HTTP/0.9", "HTTP/1.10", "HTTP/1", "http/1.1", "HTTPS/1.1", "ICY"} {
		answers["version "+version] = withStatus(version + " 200 OK")
	}
	return answers
}

// invalidNames returns names of fields that are no tokens.
func invalidNames() []string {
	names := []string{
		"", "X Broken", "X-Broken ", " X-Broken", "  ", "X\tBroken", "X-Broken\t", "\tX-Broken", "X(Broken)", "X[Broken]", "X-Brok\xe9n",
	}
	for _, control := range []byte{0x00, 0x01, 0x07, 0x0b, '\r', 0x1b, 0x1f, 0x7f} {
		names = append(names, "X"+string([]byte{control})+"Broken")
	}
	return names
}

// Unusual returns valid answers, by name.
func Unusual() map[string]Answer {
	const token = "!#$%&'*+-.^_`|~0123456789abcXYZ"
	return map[string]Answer{
		"all bytes of a token":        withField(token + ": 1"),
		"lower case":                  {"HTTP/1.1 200 OK", "content-length: {length}\r\nx-value: 1\r\n", "{body}"},
		"bytes over 127 in a value":   withField("X-Value: caf\xc3\xa9 \xff"),
		"tabs in a value":             withField("X-Value:\ta\tb\t"),
		"empty value":                 withField("X-Value:"),
		"colons in a value":           withField("X-Value: a:b : c"),
		"spaces after a value":        withField("X-Value: a  "),
		"folded value":                withField("X-Value: a\r\n b"),
		"folded line without text":    withField("X-Value: a\r\n "),
		"no space after the colon":    withField("X-Value:a"),
		"line ends without CR":        {"HTTP/1.1 200 OK", "X-Value: a\nContent-Length: {length}\n", "{body}"},
		"empty reason":                withStatus("HTTP/1.1 200 "),
		"no reason":                   withStatus("HTTP/1.1 200"),
		"two spaces before the code":  withStatus("HTTP/1.1  200 OK"),
		"tab, bytes over 127, reason": withStatus("HTTP/1.1 200 \xc3\x89\tOK"),
		"HTTP/1.0":                    withStatus("HTTP/1.0 200 OK"),
		"HTTP/1.2":                    withStatus("HTTP/1.2 200 OK"),
		"one length twice":            {"HTTP/1.1 200 OK", "Content-Length: {length}\r\nContent-Length: 5\r\n", "{body}"},
		"chunks":                      {"HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", chunked},
		"chunks and a length":         {"HTTP/1.1 200 OK", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", chunked},
		"informational answers first": {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\nHTTP/1.1 200 OK", "Content-Length: {length}\r\n", "{body}"},
		"long field":                  withField("X-Value: " + strings.Repeat("a", 20<<10)),
		"many fields":                 withField(strings.Repeat("X-Value: a\r\n", 1000) + "X-Value: a"),
	}
}

// Names returns the names of answers in order.
func Names(answers map[string]Answer) []string { return slices.Sorted(maps.Keys(answers)) }
