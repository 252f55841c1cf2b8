import Router from '@koa/router';
import Koa, {type Context, type Next} from 'koa';
import {createEngineStreams} from './lib/create-engine-streams.js';
import type {EngineFaults} from './lib/engine-faults.js';
import type {EngineStream} from './lib/engine-stream.js';
import {readEngineStream} from './lib/read-engine-stream.js';
import {readJson} from './lib/read-json.js';
import {relayEngineStream} from './lib/relay-engine-stream.js';
import {serveStandIn} from './lib/serve-stand-in.js';
import type {EngineOptions} from './engine-options.js';
import type {RunningStandIn} from './running-stand-in.js';

/**
Starts a stand-in for a model engine: a set pace, a limit of slots, priorities,
a prefix cache, resume, cancel, lagging load reports, late cache events with gaps.

The answer to a prompt is made from the prompt, so that a caller can tell its own answer.
Its control door is `PUT /control/faults` (see `EngineFaults`) and `GET /control/streams`.
*/
export const startEngine = async ({port = 0, slots = 8, checksSendBy = true, ...pace}: EngineOptions = {}): Promise<RunningStandIn> => {
	let faults: EngineFaults = {
		isDown: false, refuses: false, breakAfter: 0, msPerToken: 5, msPerPromptToken: 0, reportLagMs: 100, ...pace,
	};
	const streams = createEngineStreams(slots, () => faults);
	let report = streams.load();

	const open = async (ctx: Context): Promise<EngineStream | undefined> => {
		const stream = await readEngineStream(ctx);
		if (streams.get(stream.id)) {
			ctx.status = 409;
			return undefined;
		}

		const sendBy = Number(ctx.get('x-send-by') || Infinity);
		if (faults.refuses || (checksSendBy && Date.now() > sendBy)) {
			ctx.status = 503;
			ctx.set('x-not-run', 'true');
			return undefined;
		}

		streams.start(stream);
		return stream;
	};

	const relay = async (ctx: Context, stream: EngineStream | undefined, after: number): Promise<void> => {
		if (stream) {
			await relayEngineStream(ctx, stream, {after, breakAfter: () => faults.breakAfter, breakOff: streams.breakOff});
		}
	};

	const router = new Router();
	router.use(async (ctx: Context, next: Next) => {
		if (faults.isDown) {
			ctx.req.socket.destroy();
			return;
		}

		await next();
	});
	router.post('/v1/chat/completions', async ctx => relay(ctx, await open(ctx), 0));
	router.get('/v1/streams/:id', async ctx => relay(ctx, streams.get(ctx.params.id!), Number(ctx.query.after ?? 0)));
	router.post('/v1/streams/:id/cancel', ctx => {
		const stream = streams.get(ctx.params.id!);
		if (stream) {
			streams.cancel(stream);
			ctx.body = {state: stream.state};
		}
	});
	router.get('/load', async ctx => {
		ctx.body = {...report, slots};
	});
	router.get('/cache-events', ctx => {
		ctx.body = streams.cacheEventsAfter(Number(ctx.query.after ?? 0));
	});

	const control = new Router({prefix: '/control'});
	control.put('/faults', async ctx => {
		faults = {...faults, ...await readJson<Partial<EngineFaults>>(ctx)};
		ctx.body = faults;
	});
	control.get('/streams', ctx => {
		ctx.body = {streams: streams.served()};
	});

	const takeReport = (): void => {
		report = streams.load();
		timer = setTimeout(takeReport, faults.reportLagMs);
	};

	let timer = setTimeout(takeReport, faults.reportLagMs);
	const app = new Koa();
	app.use(control.routes());
	app.use(router.routes());
	const standIn = await serveStandIn(app, port);
	return {
		url: standIn.url,
		async close() {
			clearTimeout(timer);
			await standIn.close();
		},
	};
};
