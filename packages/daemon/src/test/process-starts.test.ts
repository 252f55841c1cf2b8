/** Guards against a `deckwheeld` that ends by itself, or by a signal that it should serve, while it starts or runs. */
import {execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtemp, open, rm, writeFile,
} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';

const mainPath = fileURLToPath(new URL('../main.js', import.meta.url));
const ip = '127.0.0.1';
const anyPort = {ip, port: 0};

/** A port that this process holds until `release` is called. */
const takePort = async () => {
	const server = createServer().listen(0, ip);
	await once(server, 'listening');
	return {
		port: (server.address() as AddressInfo).port,
		async release() {
			server.close();
			await once(server, 'close');
		},
	};
};

const settings = (listen: Readonly<Record<string, typeof anyPort>> = {}): string => JSON.stringify({
	host: 'host-1',
	hall: 'hall-a',
	listen: {
		callers: anyPort, peers: anyPort, operators: anyPort, ...listen,
	},
	platform: {url: `http://${ip}:1`},
	secret: 'a secret of enough characters',
	trustedKeys: [],
});

const prepare = async (t: ExecutionContext) => {
	const folder = await mkdtemp(path.join(tmpdir(), 'deckwheeld-'));
	t.teardown(async () => rm(folder, {recursive: true, force: true}));
	const file = path.join(folder, 'settings.json');
	const start = () => {
		const child = spawn(process.execPath, [mainPath, '--settings', file], {stdio: ['ignore', 'pipe', 'inherit']});
		const lines = createInterface(child.stdout);
		const end = once(child, 'exit') as Promise<[code: unknown, signal: unknown]>;
		t.teardown(() => {
			child.kill('SIGKILL');
		});
		return {
			child,
			end,
			/** Resolves with the next line that has a text; `undefined` if the process ends without one. */
			nextLine: async (text: string): Promise<string | undefined> => new Promise(resolve => {
				lines.on('line', line => {
					if (line.includes(text)) {
						resolve(line);
					}
				});
				child.once('close', () => {
					resolve(undefined);
				});
			}),
		};
	};

	return {file, start};
};

for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
	test(`${signal} ends a daemon that reads its settings by the signal`, async t => {
		const {file, start} = await prepare(t);
		execFileSync('mkfifo', [file]);
		const {child, end, nextLine} = start();
		const ready = nextLine('event=ready');
		const pipe = await open(file, 'w');
		child.kill(signal);
		await pipe.writeFile(settings());
		await pipe.close();
		t.regex(await ready ?? '', /host=host-1/);
		if (signal !== 'SIGHUP') {
			t.deepEqual(await end, [0, null]);
		}
	});
}

test('a daemon ends since its settings file is half written for a moment', async t => {
	const {file, start} = await prepare(t);
	await writeFile(file, settings().slice(0, 20));
	const {nextLine} = start();
	const ready = nextLine('event=ready');
	t.truthy(await nextLine('settings_unread'));
	await writeFile(file, settings());
	t.truthy(await ready);
});

test('the log of a daemon lacks why it did not take its settings', async t => {
	const {file, start} = await prepare(t);
	await writeFile(file, settings({callers: {ip, port: -1}}));
	const {end, nextLine} = start();
	t.regex(await nextLine('settings_invalid') ?? '', /path=listen\.callers\.port/);
	t.deepEqual(await end, [2, null]);
});

for (const which of ['callers', 'peers', 'operators'] as const) {
	test(`a daemon ends since its port for ${which} is taken for a moment`, async t => {
		const {file, start} = await prepare(t);
		const taken = await takePort();
		await writeFile(file, settings({[which]: {ip, port: taken.port}}));
		const {child, end, nextLine} = start();
		const ready = nextLine('event=ready');
		t.regex(await nextLine('listen_failed') ?? '', /EADDRINUSE/);
		await taken.release();
		t.truthy(await ready);
		child.kill('SIGTERM');
		t.deepEqual(await end, [0, null]);
	});
}

test('a daemon that waits for its port for peers ends by itself, or does not stop', async t => {
	const {file, start} = await prepare(t);
	const taken = await takePort();
	t.teardown(taken.release);
	await writeFile(file, settings({peers: {ip, port: taken.port}}));
	const {child, end, nextLine} = start();
	// Tasks that run at intervals find no mesh meanwhile.
	for (let attempt = 0; attempt < 5; attempt++) {
		t.truthy(await nextLine('listen_failed'));
	}

	child.kill('SIGTERM');
	t.deepEqual(await end, [0, null]);
});
