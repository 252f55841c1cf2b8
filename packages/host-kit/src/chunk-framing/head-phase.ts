/**
Where in the head of a message its bytes are: `before` its first line, in a `line`, at a `line_start`, after a CR at the start of a line, or past the
empty line that ended it.
*/
export type HeadPhase = 'before' | 'line' | 'line_start' | 'line_start_cr' | 'ended';
