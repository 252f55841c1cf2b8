export default {
	files: ['packages/*/dist/test/**/*.test.js'],
	timeout: '120s',
	workerThreads: false,
	concurrency: 4,
};
