/** Starts the stand-ins by hand: platform, engine and service, for trying out `deckwheeld` on loopback. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {startEngine} from './start-engine.js';
import {startService} from './start-service.js';
import {startStore} from './start-store.js';

const {positionals: [kind], values} = parseArgs({
	allowPositionals: true,
	options: {
		port: {type: 'string', default: '0'},
		slots: {type: 'string', default: '8'},
		'ms-per-token': {type: 'string', default: '5'},
		'ms-per-prompt-token': {type: 'string', default: '0'},
	},
});

const port = Number(values.port);
const starters: Readonly<Record<string, () => Promise<{readonly url: string}>>> = {
	store: async () => startStore(port),
	engine: async () => startEngine({
		port,
		slots: Number(values.slots),
		msPerToken: Number(values['ms-per-token']),
		msPerPromptToken: Number(values['ms-per-prompt-token']),
	}),
	service: async () => startService(port),
};

const start = starters[kind ?? ''];
if (start) {
	const {url} = await start();
	console.log(`event=ready kind=${kind} url=${url}`);
} else {
	console.error('Usage: node main.js store|engine|service [--port N] [--slots N] [--ms-per-token N] [--ms-per-prompt-token N]');
	process.exitCode = 2;
}
