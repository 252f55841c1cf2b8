/** The try-out: starts a small fleet of `deckwheeld` beside stand-ins, sends one request and its retry, and shows both answers. */
import process from 'node:process';
import got from 'got';
import {sendChat} from './lib/send-chat.js';
import {startFleet} from './lib/start-fleet.js';

const print = (title: string, value: unknown): void => {
	console.log(`\n== ${title}`);
	console.log(typeof value === 'string' ? value : JSON.stringify(value, undefined, '  '));
};

const fleet = await startFleet({halls: {'hall-a': 2, 'hall-b': 2}});
const [first, second, third] = fleet.entries;
print('The fleet', fleet.entries.map(({host, hall, callers}) => `${host} in ${hall} at ${callers}`).join('\n'));

const call = {prompt: 'Summarise the legal description of lot 7, block 2.', apiKey: fleet.apiKey};
const answer = await sendChat(first!.callers, call);
print(`A streamed answer by ${first!.host}`, answer);

const retry = await sendChat(third!.callers, {...call, headers: {'idempotency-key': answer.key}});
print(`The same key again, by ${third!.host} in the other hall`, retry);

const operator = {headers: {authorization: `Bearer ${fleet.operatorToken}`}};
const explained: any = await got(`${second!.operators}/requests/${fleet.budget}/${answer.key}`, operator).json();
print('The route, its reason, and the bill', explained);
const budgets = await Promise.all(fleet.entries.map(async ({operators}) => got(`${operators}/budgets/${fleet.budget}`, operator).json()));
print('The budget, as the primary of each hall holds it', budgets.filter((view: any) => view.role === 'primary'));

await Promise.all(fleet.entries.map(async ({child, exited}) => {
	child.kill('SIGTERM');
	return exited;
}));
const isRight = answer.isWhole && retry.text === answer.text && explained.bill === answer.totalTokens;
print('Result', isRight ? 'The retry got the same answer, and it was billed once.' : 'Something is wrong.');
await fleet.close();
process.exitCode = isRight ? 0 : 1;
