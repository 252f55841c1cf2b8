import Router from '@koa/router';
import Koa from 'koa';
import {createEngineRouter} from './lib/create-engine-router.js';
import {createEngineStreams} from './lib/create-engine-streams.js';
import type {EngineFaults} from './lib/engine-faults.js';
import {readJson} from './lib/read-json.js';
import {serveStandIn} from './lib/serve-stand-in.js';
import type {EngineOptions} from './engine-options.js';
import type {RunningStandIn} from './running-stand-in.js';

/**
Starts a stand-in for a model engine: a set pace, a limit of slots, priorities,
a prefix cache, resume, cancel, lagging load reports, late cache events with gaps.

The answer to a prompt is made from the prompt, so that a caller can tell its own answer.
Its control door is `PUT /control/faults` (see `EngineFaults`) and `GET /control/streams`.
*/
export const startEngine = async ({port = 0, slots = 8, checksSendBy = true, onEnded = () => undefined, ...pace}: EngineOptions = {}): Promise<RunningStandIn> => {
	let faults: EngineFaults = {
		isDown: false, refuses: false, endsOn: '', breakAfter: 0, msPerToken: 5, msPerPromptToken: 0, reportLagMs: 100, ...pace,
	};
	const streams = createEngineStreams(slots, () => faults);
	let report = streams.load();

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

	let timer: NodeJS.Timeout | undefined;
	const app = new Koa();
	app.use(control.routes());
	app.use(createEngineRouter({
		streams,
		faults: () => faults,
		report: () => report,
		slots,
		checksSendBy,
		end() {
			void close();
			onEnded();
		},
	}).routes());
	const standIn = await serveStandIn(app, port);
	timer = setTimeout(takeReport, faults.reportLagMs);
	const close = async (): Promise<void> => {
		clearTimeout(timer);
		await standIn.close();
	};

	return {url: standIn.url, close};
};
