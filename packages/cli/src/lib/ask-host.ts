import {fail, succeed, type Result} from '@deckwheel/core';
import got from 'got';
import {operatorToken} from './operator-token.js';

/** How long a host may take to answer an operator, in ms. */
const timeoutMs = 5000;

type ErrorBody = {readonly error?: {readonly message?: string}};

/** Asks a host over its operators' interface. The error is one line for the operator to read. */
export const askHost = async <T>(host: string, path: string, method: 'GET' | 'POST' = 'GET'): Promise<Result<T, string>> => {
	try {
		const response = await got(`${host}${path}`, {
			method,
			headers: {authorization: `Bearer ${operatorToken()}`},
			responseType: 'json',
			throwHttpErrors: false,
			retry: {limit: 0},
			timeout: {request: timeoutMs},
		});
		return response.ok
			? succeed(response.body as T)
			: fail((response.body as ErrorBody).error?.message ?? `the host answered with status ${response.statusCode}`);
	} catch (error) {
		return fail((error as Error).message);
	}
};
