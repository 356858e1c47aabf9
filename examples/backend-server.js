// Minimal backend server. Usage: node examples/backend-server.js ENTRY SERVICE INSTANCE KEY
import http from 'node:http';
import process from 'node:process';

const [entry, service, instance, key] = process.argv.slice(2);
const inFlight = new Set();
const server = http.createServer((req, res) => {
	const ticket = req.headers['bronzebend-ticket'];
	inFlight.add(ticket);
	res.on('close', () => inFlight.delete(ticket));
	res.end(`${instance} answers ${req.method} ${req.url}\n`);
});
server.listen(0, '127.0.0.1');
setInterval(async () => {
	const body = JSON.stringify({
		service, instance, address: `http://127.0.0.1:${server.address().port}`, slots: 8, connections: 64, inFlight: [...inFlight],
	});
	const answer = await fetch(`${entry}/bronzebend/v1/announce`, {method: 'POST', headers: {authorization: `Bearer ${key}`}, body}).catch(error => ({status: 0, text: async () => String(error)}));
	if (answer.status !== 200) {
		console.error(answer.status, await answer.text());
	}
}, 1000);
