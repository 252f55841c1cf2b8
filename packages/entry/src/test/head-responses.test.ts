/** Guards against sound responses to HEAD that end the host, since node:http does not write what it read. */
import test from 'ava';
import {callHost} from './lib/call-host.js';
import {headerNames} from './lib/header-names.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, startHost} from './lib/start-host.js';

const disposition = 'attachment; filename="m\u00FCller.txt"';

test('a response to HEAD with a length before a file name beyond ASCII ends the host', async t => {
	const endpoint = await startEndpoint('e0', (req, res) => {
		const id = String(req.headers[headerNames.requestId]);
		const lines = [`${headerNames.requestId}: ${id}`, `${headerNames.stamp}: e`, 'Content-Length: 5', `Content-Disposition: ${disposition}`];
		res.socket!.write(`HTTP/1.1 200 OK\r\n${lines.join('\r\n')}\r\n\r\n`, 'latin1');
	});
	const host = await startHost(createMemoryRightsStore());
	host.entry.configure(makeConfig());
	host.entry.listEndpoints([endpoint.listed]);
	t.teardown(async () => {
		await host.entry.kill();
		endpoint.close();
	});
	const {status, headers} = await callHost(host.callers, {method: 'HEAD'});
	t.is(status, 200);
	t.is(headers['content-disposition'], disposition);
	t.is(headers['content-length'], '5');
});
