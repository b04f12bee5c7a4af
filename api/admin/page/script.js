// The status page reads the administration API with the operator's token. All
// text is set as text, never as HTML.
"use strict";

const api = "v1";
const refreshMilliseconds = 2000;
const keptEvents = 200;
const tokenKey = "valveslip-token";

const element = (id) => document.getElementById(id);
let token = sessionStorage.getItem(tokenKey) || "";
let stream = null;

// call reads one path of the API.
async function call(path, options = {}) {
  const headers = { Authorization: "Bearer " + token, ...options.headers };
  const response = await fetch(api + path, { ...options, headers, cache: "no-store" });
  if (!response.ok) {
    const body = await response.json().catch(() => null);
    const failure = new Error(body?.error?.message || "the node answered " + response.status);
    failure.status = response.status;
    throw failure;
  }
  return response;
}

// list reads all pages of a list.
async function list(path) {
  let items = [];
  for (let after = ""; ;) {
    const page = await (await call(`${path}?limit=2000&after=${encodeURIComponent(after)}`)).json();
    items = items.concat(page.items);
    if (!page.next) return items;
    after = page.next;
  }
}

function showError(error) {
  element("error").hidden = !error;
  element("error").textContent = error ? error.message : "";
}

const since = (time) => {
  if (!time) return "";
  const seconds = Math.max(0, Math.round((Date.now() - Date.parse(time)) / 1000));
  if (seconds < 120) return seconds + " s";
  return seconds < 7200 ? Math.round(seconds / 60) + " min" : Math.round(seconds / 3600) + " h";
};

const size = (bytes) => {
  for (const [unit, factor] of [["GiB", 2 ** 30], ["MiB", 2 ** 20], ["KiB", 2 ** 10]]) {
    if (bytes >= factor) return (bytes / factor).toFixed(bytes % factor ? 1 : 0) + " " + unit;
  }
  return bytes + " B";
};

// cell makes one table cell: a text, a node, or a text with a class.
function cell(value) {
  const td = document.createElement("td");
  if (value instanceof Node) td.append(value);
  else if (value && typeof value === "object") {
    td.textContent = value.text;
    td.className = value.bad ? "bad" : "";
  } else td.textContent = value;
  return td;
}

// fill replaces the rows of a table.
function fill(id, header, rows) {
  const table = element(id);
  const head = document.createElement("tr");
  for (const name of header) {
    const th = document.createElement("th");
    th.scope = "col";
    th.textContent = name;
    head.append(th);
  }
  const body = rows.map((row) => {
    const tr = document.createElement("tr");
    tr.append(...row.map(cell));
    return tr;
  });
  if (rows.length === 0) {
    const td = cell("none");
    td.colSpan = header.length;
    td.className = "empty";
    const tr = document.createElement("tr");
    tr.append(td);
    body.push(tr);
  }
  table.replaceChildren(head, ...body);
}

// ask makes a button that asks why for a name.
function ask(name) {
  const button = document.createElement("button");
  button.type = "button";
  button.textContent = name;
  button.addEventListener("click", () => why(name));
  return button;
}

async function refresh() {
  const [members, controllers, machines, replicas, queues] = await Promise.all(
    ["/members", "/controllers", "/machines", "/replicas", "/queues"].map(list));
  fill("replicas", ["model", "machine", "zone", "state", "for"],
    replicas.map((r) => [ask(r.model), r.machine, r.zone, { text: r.state, bad: r.state === "unknown" }, since(r.since)]));
  fill("queues", ["model", "node", "waiting", "running", "oldest"],
    queues.map((q) => [ask(q.model), q.node, q.waiting, q.running, q.oldest_wait_seconds.toFixed(1) + " s"]));
  fill("controllers", ["zone", "node", "token", "sealed"],
    controllers.map((c) => [c.zone, c.node, c.token, { text: `${c.sealed} of ${c.machines}`, bad: c.sealed < c.machines }]));
  fill("members", ["node", "zone", "state", "revision", "behind"],
    members.map((m) => [m.id, m.zone, { text: m.state, bad: m.state !== "alive" }, m.revision, { text: m.behind, bad: m.behind > 0 }]));
  fill("machines", ["machine", "zone", "pool", "memory", "running", ""],
    machines.map((m) => [m.id, m.zone, m.pool, `${size(m.used_bytes)} of ${size(m.memory_bytes)}`, `${m.running} of ${m.slots}`,
      { text: m.leaving ? "leaving" : m.sealed ? "" : "not sealed", bad: true }]));
  const names = new Set([...replicas, ...queues].map((item) => item.model));
  element("models").replaceChildren(...[...names].sort().map((name) => new Option(name, name)));
  const loaded = replicas.filter((r) => r.state === "loaded").length;
  const loading = replicas.filter((r) => r.state === "loading").length;
  const waiting = queues.reduce((sum, q) => sum + q.waiting, 0);
  const behind = members.filter((m) => m.behind > 0).length;
  element("summary").textContent = `${loaded} loaded, ${loading} loading, ${waiting} waiting, ${behind} of ${members.length} nodes behind`;
}

// why shows the reasons of a model, or else of a request.
async function why(name) {
  element("name").value = name;
  const reason = element("reason");
  reason.hidden = false;
  for (const kind of ["models", "requests"]) {
    try {
      const answer = await (await call(`/why/${kind}/${encodeURIComponent(name)}`)).json();
      reason.textContent = `${answer.model}${answer.path ? " (" + answer.path + ")" : ""}\n${answer.text}`;
      return;
    } catch (error) {
      reason.textContent = error.message;
      if (error.status !== 404) return;
    }
  }
}

// showEvent adds one event to the top of the list.
function showEvent(event) {
  const item = document.createElement("li");
  const time = document.createElement("time");
  time.dateTime = event.at;
  time.textContent = new Date(event.at).toLocaleTimeString();
  item.append(time, `${event.kind}: ${event.text}`);
  const events = element("events");
  events.prepend(item);
  while (events.children.length > keptEvents) events.lastChild.remove();
}

// follow reads the event stream until it breaks; run opens it again.
async function follow(last) {
  const response = await call("/events", { headers: { "Last-Event-ID": String(last) } });
  const reader = response.body.pipeThrough(new TextDecoderStream()).getReader();
  for (let buffer = ""; ;) {
    const { value, done } = await reader.read();
    if (done) return last;
    buffer += value;
    const blocks = buffer.split("\n\n");
    buffer = blocks.pop();
    for (const block of blocks) {
      const data = block.split("\n").find((line) => line.startsWith("data: "));
      if (!data) continue;
      const event = JSON.parse(data.slice("data: ".length));
      last = event.number;
      showEvent(event);
    }
  }
}

const pause = (milliseconds) => new Promise((resolve) => setTimeout(resolve, milliseconds));

async function run() {
  const mine = stream = {};
  (async () => {
    for (let last = 0; stream === mine; await pause(refreshMilliseconds)) {
      last = await follow(last).catch(() => last);
    }
  })();
  while (stream === mine) {
    try {
      await refresh();
      element("system").hidden = false;
      showError(null);
    } catch (error) {
      showError(error);
      if (error.status === 401 || error.status === 403) {
        stream = null;
        element("system").hidden = true;
        sessionStorage.removeItem(tokenKey);
      }
    }
    await pause(refreshMilliseconds);
  }
}

element("sign-in").addEventListener("submit", (event) => {
  event.preventDefault();
  token = element("token").value.trim();
  element("token").value = "";
  sessionStorage.setItem(tokenKey, token);
  element("events").replaceChildren();
  run();
});
element("search").addEventListener("submit", (event) => {
  event.preventDefault();
  why(element("name").value.trim());
});
if (token) run();
