import {
	fail, limitDownload, succeed, type Result,
} from '@deckwheel/core';
import got, {CancelError} from 'got';
import type {z} from 'zod';
import {operatorToken} from './operator-token.js';

/** How long a host may take to answer an operator, in ms. */
const timeoutMs = 5000;

/** The largest answer that is read, in bytes: the status of a host has some KB for each budget. */
const maxAnswerBytes = 16 * 1024 * 1024;

type ErrorBody = {readonly error?: {readonly message?: string}};

/** Asks a host over its operators' interface. The error is one line for the operator to read. An answer that does not fit the schema, such as an empty one, is none. */
export const askHost = async <T>(host: string, path: string, schema: z.ZodType<T>, method: 'GET' | 'POST' = 'GET'): Promise<Result<T, string>> => {
	try {
		const response = await limitDownload(got(`${host}${path}`, {
			method,
			headers: {authorization: `Bearer ${operatorToken()}`},
			responseType: 'json',
			throwHttpErrors: false,
			retry: {limit: 0},
			timeout: {request: timeoutMs},
		}), maxAnswerBytes);
		if (!response.ok) {
			return fail((response.body as ErrorBody).error?.message ?? `the host answered with status ${response.statusCode}`);
		}

		const parsed = schema.safeParse(response.body);
		return parsed.success ? succeed(parsed.data) : fail('the host\'s answer cannot be read');
	} catch (error) {
		return fail(error instanceof CancelError ? `the host's answer is longer than ${maxAnswerBytes} bytes` : (error as Error).message);
	}
};
