// Runs all tests. A failing test that KNOWN-RED.txt names is printed and passed over; any other failure fails the run.
import {spawn} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {Parser} from 'tap-parser';

const knownRedFile = new URL('../KNOWN-RED.txt', import.meta.url);

// A line holds a test's full title, its cause and its issue, parted by bars.
const knownRed = existsSync(knownRedFile)
	? readFileSync(knownRedFile, 'utf8').split('\n').filter(Boolean).map(line => line.split('|')[0].trim())
	: [];

const child = spawn('npx', ['ava', '--tap'], {stdio: ['ignore', 'pipe', 'inherit']});
const parser = new Parser();
const failed = [];
parser.on('assert', ({ok, name, skip, todo}) => {
	if (!ok && !skip && !todo) {
		failed.push(name);
	}
});
child.stdout.pipe(process.stdout);
child.stdout.pipe(parser);

const [exitCode, results] = await Promise.all([
	new Promise(resolve => {
		child.on('close', resolve);
	}),
	new Promise(resolve => {
		parser.on('complete', resolve);
	}),
]);

const passedOver = failed.filter(name => knownRed.includes(name));
const unknown = failed.filter(name => !knownRed.includes(name));
for (const name of passedOver) {
	console.log(`known red, passed over: ${name}`);
}

for (const name of unknown) {
	console.log(`FAILED: ${name}`);
}

console.log(`${results.pass} passed, ${failed.length} failed, ${passedOver.length} of them known red`);
// A run that ended before its plan was done, or without naming a failure, is no pass.
const isWhole = results.bailout === false && results.plan.end === results.count && (exitCode === 0 || failed.length > 0);
process.exitCode = unknown.length === 0 && isWhole && results.count > 0 ? 0 : 1;
