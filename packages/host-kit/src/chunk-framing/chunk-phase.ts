/**
What a body in chunks goes on with (RFC 9112, section 7.1). `size_start` to `size_lf` are the line of a chunk's size, `data` to `data_lf` its data, and
`trailer_start` to `last_lf` the trailer with the empty line that ends the body.

`whole`: the body has ended, and further bytes are no part of it. `invalid`: a byte was none that the body may go on with.
*/
export type ChunkPhase =
	| 'size_start' | 'size' | 'extension' | 'size_lf'
	| 'data' | 'data_cr' | 'data_lf'
	| 'trailer_start' | 'trailer_name' | 'trailer_value' | 'trailer_lf' | 'last_lf'
	| 'whole' | 'invalid';
