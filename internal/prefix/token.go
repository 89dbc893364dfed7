package prefix

// maxTokenBytes splits words that are longer than a token.
const maxTokenBytes = 16

// CountTokens counts the tokens of a text. A token is a word with the white
// space before it; words of more than 16 bytes count as several. Real engines
// have tokenisers of their own: the count sizes memory and orders queues, and
// need not be exact.
func CountTokens(text string) int {
	count := 0
	eachToken(text, func(int) bool {
		count++
		return true
	})
	return count
}

// eachToken calls visit with the end of each token until it returns false.
func eachToken(text string, visit func(end int) bool) {
	length := 0
	for i := range len(text) {
		if length > 0 && (isSpace(text[i]) || length == maxTokenBytes) {
			if !visit(i) {
				return
			}
			length = 0
		}
		if !isSpace(text[i]) {
			length++
		}
	}
	if length > 0 {
		visit(len(text))
	}
}

func isSpace(b byte) bool {
	return b == ' ' || b == '\n' || b == '\t' || b == '\r'
}
