import {Buffer} from 'node:buffer';

const codeOf = (character: string): number => Buffer.from(character, 'latin1')[0]!;

/** The bytes that the framing of messages in HTTP names, by what they stand for in ASCII. */
export const ascii = {
	tab: codeOf('\t'),
	lf: codeOf('\n'),
	cr: codeOf('\r'),
	space: codeOf(' '),
	zero: codeOf('0'),
	nine: codeOf('9'),
	colon: codeOf(':'),
	semicolon: codeOf(';'),
	lowerA: codeOf('a'),
	lowerF: codeOf('f'),
	deletion: codeOf('\u007F'),
} as const;
