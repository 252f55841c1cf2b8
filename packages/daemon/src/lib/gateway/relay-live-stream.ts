import {once} from 'node:events';
import {type Refusal, refusalBody} from '@deckwheel/core';
import type {Context as KoaContext} from 'koa';
import type {LiveStream} from '../running/streams/live-stream.js';

const eventNumber = (event: string): number => Number(/^id: (?<id>\d+)$/m.exec(event)?.groups?.id ?? Infinity);

const writeHead = (ctx: KoaContext): void => {
	ctx.respond = false;
	ctx.res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-key': String(ctx.response.get('X-Request-Key'))});
};

/** Sends an answer out as it comes in. After its first byte, an error can only be told inside the stream. */
export const relayLiveStream = async (ctx: KoaContext, stream: LiveStream, result: Promise<Refusal | undefined>): Promise<void> => {
	const after = Number(ctx.get('last-event-id') || 0);
	const {res} = ctx;
	let next = 0;

	const writeNew = async (): Promise<void> => {
		for (; next < stream.events.length; next++) {
			const event = stream.events[next]!;
			if (eventNumber(event) > after && !res.write(event)) {
				await Promise.race([once(res, 'drain'), once(res, 'close')]);
			}
		}
	};

	while (true) {
		if (stream.events.length > 0 && !res.headersSent) {
			writeHead(ctx);
		}

		await writeNew();
		if (stream.isEnded) {
			break;
		}

		await stream.changed();
	}

	const refusal = await result;
	if (!res.headersSent) {
		return;
	}

	if (refusal) {
		res.write(`event: error\ndata: ${JSON.stringify(refusalBody(refusal))}\n\n`);
	}

	res.end();
};
