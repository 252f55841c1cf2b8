import Router from '@koa/router';
import type {Context, Next} from 'koa';
import type {EngineFaults} from './engine-faults.js';
import type {EngineLoad} from './engine-load.js';
import type {EngineStream} from './engine-stream.js';
import type {EngineStreams} from './engine-streams.js';
import {readStreamRequest} from './read-stream-request.js';
import {relayEngineStream} from './relay-engine-stream.js';

type Options = {
	readonly streams: EngineStreams;
	readonly faults: () => EngineFaults;
	/** What the engine last said of its load. */
	readonly report: () => EngineLoad;
	readonly slots: number;
	/** Whether a request that comes after its time to be sent is refused. */
	readonly checksSendBy: boolean;
	/** Ends the engine. */
	readonly end: () => void;
};

/** Creates the interface that hosts call: streams, their resumption and cancelling, load reports, cache events. */
export const createEngineRouter = ({streams, faults, report, slots, checksSendBy, end}: Options): Router => {
	const open = async (ctx: Context): Promise<EngineStream | undefined> => {
		const stream = await readStreamRequest(ctx);
		if (streams.get(stream.id)) {
			ctx.status = 409;
			return undefined;
		}

		const sendBy = Number(ctx.get('x-send-by') || Infinity);
		if (faults().refuses || (checksSendBy && Date.now() > sendBy)) {
			ctx.status = 503;
			ctx.set('x-not-run', 'true');
			return undefined;
		}

		const {endsOn} = faults();
		if (endsOn !== '' && stream.prompt.includes(endsOn)) {
			end();
			return undefined;
		}

		streams.start(stream);
		return stream;
	};

	const relay = async (ctx: Context, stream: EngineStream | undefined, after: number): Promise<void> => {
		if (stream) {
			await relayEngineStream(ctx, stream, {after, breakAfter: () => faults().breakAfter, breakOff: streams.breakOff});
		}
	};

	const cancel = (ctx: Context, stream: EngineStream | undefined): void => {
		if (stream) {
			streams.cancel(stream);
			ctx.body = {state: stream.state};
		}
	};

	const router = new Router();
	router.use(async (ctx: Context, next: Next) => {
		if (faults().isDown) {
			ctx.req.socket.destroy();
			return;
		}

		await next();
	});
	router.post('/v1/chat/completions', async ctx => relay(ctx, await open(ctx), 0));
	router.get('/v1/streams/:id', async ctx => relay(ctx, streams.get(ctx.params.id!), Number(ctx.query.after ?? 0)));
	router.post('/v1/streams/:id/cancel', ctx => {
		cancel(ctx, streams.get(ctx.params.id!));
	});
	router.get('/load', ctx => {
		ctx.body = {...report(), slots};
	});
	router.get('/cache-events', ctx => {
		ctx.body = streams.cacheEventsAfter(Number(ctx.query.after ?? 0));
	});
	return router;
};
