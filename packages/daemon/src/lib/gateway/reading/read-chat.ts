import {
	fail, parseJson, succeed, type Result, type Refusal,
} from '@deckwheel/core';
import {chatRequestSchema} from './chat-request-schema.js';
import type {ChatRequest} from './chat-request.js';
import {badRequest} from './bad-request.js';

/** Reads a chat completion out of a body. */
export const readChat = (body: string): Result<ChatRequest, Refusal> => {
	const document = parseJson(body);
	if (document === undefined) {
		return fail(badRequest('The body is not JSON.'));
	}

	const parsed = chatRequestSchema.safeParse(document);
	if (!parsed.success) {
		const faults = parsed.error.issues.map(({path, message}) => `${path.join('.')}: ${message}`);
		return fail(badRequest(`The request is not a chat completion: ${faults.join('; ')}`));
	}

	return succeed(parsed.data);
};
