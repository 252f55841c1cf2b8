import type {Log} from '../../adapter/log.js';
import type {Schedule} from '../../adapter/schedule.js';
import {createRequestGroups} from '../shutdown/create-request-groups.js';
import {startEnding} from '../shutdown/start-ending.js';
import {cutFieldsOf} from '../shutdown/cut-fields.js';
import type {SignalTimes} from '../shutdown/signal-times.js';
import {planShutdown} from './plan-shutdown.js';
import type {RequestCounter} from './request-counter.js';
import {runShutdown} from './run-shutdown.js';
import type {ShutdownPlan} from './shutdown-plan.js';
import type {Shutdown} from './shutdown.js';

type Options = {
	/** The time from the signal to stop until the platform kills the process, in ms. */
	readonly graceMs: number;
	readonly requestCounter: Pick<RequestCounter, 'count' | 'untilNone'>;
	readonly schedule: Schedule;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the shutdown of a host that is not shutting down yet. */
export const createShutdown = ({graceMs, requestCounter, schedule, log, now}: Options): Shutdown => {
	let plan: ShutdownPlan | undefined;
	let signal: SignalTimes | undefined;
	const groups = createRequestGroups();
	const streams = createRequestGroups();
	const endAll = async (): Promise<void> => {
		await Promise.all([groups.endAll(), streams.endAll()]);
	};

	return {
		plan: () => plan,
		assignGroup: kind => (kind === 'stream' ? streams : groups).assign(),
		cutFields: receivedAt => plan && signal ? cutFieldsOf({signal, plan, receivedAt}) : {},
		async execute({servers, rights}, sentAfter) {
			const noticedAt = now();
			const times = {sentAfter, noticedAt, killedAfter: sentAfter + graceMs};
			const made = planShutdown(sentAfter, graceMs, noticedAt);
			signal = times;
			plan = made;
			const cancelAbort = schedule(made.cutRequestsAt - now(), () => {
				void endAll();
			});
			const stopEnding = startEnding({
				groups, streams, open: requestCounter.count, plan: made, schedule, now,
			});
			await runShutdown({
				servers,
				rights,
				requestCounter,
				plan: made,
				log(event, fields) {
					log(event, {...fields, late_ms: Math.round(noticedAt - sentAfter), grace_left_ms: Math.round(times.killedAfter - now())});
				},
				waitUntil: async time => new Promise<void>(resolve => {
					schedule(time - now(), resolve);
				}),
				stopForwarding() {
					plan = {...made, isForwardingOver: true};
				},
				async endOpenRequests() {
					await endAll();
					if (requestCounter.count() > 0) {
						await requestCounter.untilNone(made.waitForFinalResponsesUntil);
					}
				},
			});
			cancelAbort();
			stopEnding();
		},
	};
};
