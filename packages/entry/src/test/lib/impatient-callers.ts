import {createServer, request, Agent} from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {parentPort, workerData} from 'node:worker_threads';
import {createRandom} from './create-random.js';
import {headerNames} from './header-names.js';
import type {ImpatientCall, ImpatientCourse} from './impatient-course.js';

// The thread of callers, most of whom leave, and of an endpoint. It never stands still, so it tells how late a request arrives after its caller left.
const {seed, requestCount, everyMs, patienceMs, stayingShare, isConnectionKept} = workerData as ImpatientCourse;
const random = createRandom(seed);
const calls = new Map<string, ImpatientCall>();
const leftAtById = new Map<string, number>();
/** How late this thread was at most, in ms: its own delay is no delay of the host. */
let maxOwnDelayMs = 0;
let lastTickAt = performance.now();

const endpoint = createServer((req, res) => {
	const id = String(req.headers[headerNames.requestId]);
	const call = calls.get(id)!;
	const leftAt = leftAtById.get(id);
	call.arrivals++;
	call.lateMs = leftAt === undefined ? 0 : Math.max(call.lateMs, performance.now() - leftAt);
	res.setHeader(headerNames.requestId, id);
	res.setHeader(headerNames.stamp, 'e');
	setTimeout(() => {
		res.end(id);
	}, 10);
});

const send = async (id: string, address: string, agent: Agent): Promise<void> => new Promise(resolve => {
	const call: ImpatientCall = {
		id, status: 0, isOwn: false, isLeft: false, arrivals: 0, lateMs: 0,
	};
	calls.set(id, call);
	const [host, port] = address.split(':');
	const req = request({
		host, port, method: 'POST', path: '/p', agent, headers: {
			host: 'fleet', [headerNames.requestId]: id, [headerNames.apiKey]: 'key', 'content-length': 0,
		},
	}, res => {
		call.status = res.statusCode!;
		res.on('data', (body: Uint8Array) => {
			call.isOwn = String(body) === id;
		});
	});
	req.on('error', () => undefined);
	req.on('close', resolve);
	req.end();
	if (random() >= stayingShare) {
		setTimeout(() => {
			if (!req.destroyed) {
				call.isLeft = true;
				leftAtById.set(id, performance.now());
				req.destroy();
			}
		}, random() * patienceMs);
	}
});

endpoint.listen(0, '127.0.0.1', () => {
	parentPort!.postMessage((endpoint.address() as AddressInfo).port);
});
parentPort!.once('message', (address: string) => {
	const agent = new Agent({keepAlive: isConnectionKept});
	const ends: Array<Promise<void>> = [];
	const timer = setInterval(async () => {
		maxOwnDelayMs = Math.max(maxOwnDelayMs, performance.now() - lastTickAt - everyMs);
		lastTickAt = performance.now();
		ends.push(send(`${seed}-${ends.length}`, address, agent));
		if (ends.length === requestCount) {
			clearInterval(timer);
			await Promise.all(ends);
			parentPort!.postMessage({calls: [...calls.values()], maxOwnDelayMs});
		}
	}, everyMs);
	lastTickAt = performance.now();
});
