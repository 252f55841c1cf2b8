import {once} from 'node:events';
import type {Context} from 'koa';
import type {EngineStream} from './engine-stream.js';
import {formatEngineEnd} from './format-engine-end.js';
import {formatEngineEvent} from './format-engine-event.js';

type Options = {
	/** Events that the caller has already. */
	readonly after: number;
	/** Events after which the connection breaks; 0 for never. */
	readonly breakAfter: () => number;
	/** Ends a stream whose connection broke. */
	readonly breakOff: (stream: EngineStream) => void;
};

/** Writes a stream to one caller, from what there is to its end. */
export const relayEngineStream = async (ctx: Context, stream: EngineStream, {after, breakAfter, breakOff}: Options): Promise<void> => {
	ctx.respond = false;
	const {res} = ctx;
	res.writeHead(200, {'content-type': 'text/event-stream', 'x-prompt-tokens': String(stream.promptTokens)});
	res.flushHeaders();
	let sent = after;
	while (!res.destroyed) {
		while (sent < stream.tokens.length) {
			res.write(formatEngineEvent(stream, sent++));
			if (breakAfter() > 0 && sent >= breakAfter()) {
				breakOff(stream);
				res.destroy();
				return;
			}
		}

		if (stream.state === 'finished' || stream.state === 'cancelled') {
			res.end(formatEngineEnd(stream));
			return;
		}

		await once(stream.events, 'change');
	}
};
