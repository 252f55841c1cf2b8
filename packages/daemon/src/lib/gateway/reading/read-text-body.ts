import {
	fail, succeed, type Result, type Refusal,
} from '@deckwheel/core';
import type {Context} from 'koa';
import getRawBody from 'raw-body';

/**
Reads a request's body as text, up to a limit.

The entry host on a platform reads bodies as bytes and without a library (`entry/src/lib`), since it forwards them as they
are and its bundle must start fast on a small host.
*/
export const readTextBody = async (ctx: Context, limit: number): Promise<Result<string, Refusal>> => {
	try {
		return succeed(await getRawBody(ctx.req, {encoding: 'utf8', limit, length: ctx.get('content-length') || undefined}));
	} catch (error) {
		const isTooLarge = (error as {type?: string}).type === 'entity.too.large';
		const message = isTooLarge ? `The body is larger than ${limit} bytes.` : 'The body could not be read.';
		return fail({code: 'bad_request', message, ran: 'not_run'});
	}
};
