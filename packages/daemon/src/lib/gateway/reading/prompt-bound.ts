import {Buffer} from 'node:buffer';
import type {ChatRequest} from './chat-request.js';

/** Tokens that an engine's chat template may add to a message, at most. */
const overheadPerMessage = 16;

/** An upper bound of a prompt's tokens: each token stands for one byte at least. */
export const promptBound = (body: ChatRequest): number =>
	body.messages.reduce((sum, {content}) => sum + Buffer.byteLength(content) + overheadPerMessage, 0);
