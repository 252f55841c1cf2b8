/** The error of a message whose chunks are framed wrongly, by its code. */
export const invalidChunk = (): Error => Object.assign(new Error('The framing of a body in chunks is invalid'), {code: 'INVALID_CHUNK'});
