const config = {
	files: ['packages/*/dist/test/**/*.test.js', 'platform/dist/test/**/*.test.js'],
	timeout: '120s',
	workerThreads: false,
	concurrency: 4,
};

export default config;
